package org.fulmargap.placement;

/**
 * The requests that one entry VM may have in flight at a brittle endpoint.
 *
 * @param own the slots of the endpoint that no other VM uses
 * @param surplus further requests of this VM, while others leave slots unused
 * @param fleetSurplus the surplus of all VMs together
 */
record BrittlePlaces(int own, int surplus, int fleetSurplus) {

	/**
	 * Divides the slots of an endpoint, and after them the surplus, among the VMs.
	 * @param slots the slots of the endpoint
	 * @param rejectionsPerSecond the rejections in a second that it survives
	 * @param position the position of this VM
	 * @return the places of this VM
	 */
	static BrittlePlaces divide(int slots, int rejectionsPerSecond, FleetPosition position) {
		int fleetSurplus = fleetSurplus(slots, rejectionsPerSecond);
		int own = upTo(slots, position);
		return new BrittlePlaces(own, upTo(slots + fleetSurplus, position) - own, fleetSurplus);
	}

	// Half of the survived rejections cover those that another cause adds.
	private static int fleetSurplus(int slots, int rejectionsPerSecond) {
		int half = rejectionsPerSecond / 2;
		return Math.min(half, Math.max(1, slots / 2));
	}

	// The places of this VM among the first ones, which are dealt out in turn.
	private static int upTo(int places, FleetPosition position) {
		return places / position.count() + ((position.rank() < places % position.count()) ? 1 : 0);
	}

}
