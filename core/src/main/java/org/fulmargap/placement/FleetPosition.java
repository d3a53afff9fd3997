package org.fulmargap.placement;

/**
 * The position of this VM among the entry VMs, in the order in which they share an
 * endpoint.
 *
 * @param rank the number of VMs before this one
 * @param count the number of VMs, this one included
 */
public record FleetPosition(int rank, int count) {

	/** Of a VM that sends all requests of the fleet to an endpoint. */
	public static final FleetPosition ALONE = new FleetPosition(0, 1);

	/**
	 * Creates a position.
	 * @throws IllegalArgumentException if the rank is not below the count
	 */
	public FleetPosition {
		if (rank < 0 || rank >= count) {
			throw new IllegalArgumentException("rank " + rank + " of " + count);
		}
	}

	/**
	 * Finds the position of this VM for an endpoint.
	 */
	@FunctionalInterface
	public interface Finder {

		/**
		 * Returns the position of this VM.
		 * @param endpoint the name of the endpoint
		 * @param nowMs the current time in milliseconds
		 * @return the position
		 */
		FleetPosition find(String endpoint, long nowMs);

	}

}
