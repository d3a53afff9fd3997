package org.fulmargap.rollout;

/**
 * What VMs that start have to know of a rollout.
 *
 * @param toVersion the software version of the order
 * @param durationMs the time limit of the order, in milliseconds
 * @param orderId the id of the order
 * @param orderedAtEpochMs when the order was read, in milliseconds since the epoch
 * @param state the state
 */
public record RolloutProgress(String toVersion, long durationMs, long orderId, long orderedAtEpochMs,
		RolloutState state) {

	/**
	 * Returns whether this is the progress of an order, which may have been written again
	 * with another id.
	 * @param order the order
	 * @return {@code true} if the ids are the same, or if version and time limit are and
	 * the rollout goes on
	 */
	public boolean isOf(RolloutOrder order) {
		boolean sameContent = this.toVersion.equals(order.toVersion()) && this.durationMs == order.durationMs();
		return sameContent && (this.orderId == order.id() || !this.state.isFinal());
	}

}
