package org.fulmargap.rollout;

/**
 * What the coordinator of a service allows the VMs to send to the new version.
 *
 * @param orderId the id of the order
 * @param number the number of the step; a later one of the same order is higher
 * @param phase the phase that the rollout has reached
 * @param share the share of the requests, from 0 to 1
 * @param state the state of the rollout
 */
public record RolloutStep(long orderId, int number, RolloutPhase phase, double share, RolloutState state) {

	/**
	 * Returns the first step: the new version gets nothing yet.
	 * @param orderId the id of the order
	 * @return the step
	 */
	public static RolloutStep first(long orderId) {
		return new RolloutStep(orderId, 0, RolloutPhase.WAITING, 0, RolloutState.IN_PROGRESS);
	}

	/**
	 * Returns the step that ends a rollout.
	 * @param finalState the final state
	 * @return the next step
	 */
	public RolloutStep end(RolloutState finalState) {
		double finalShare = (finalState == RolloutState.COMPLETE) ? 1 : 0;
		return new RolloutStep(this.orderId, this.number + 1, this.phase, finalShare, finalState);
	}

	/**
	 * Returns a step in which the new version gets nothing, until the store has said
	 * whether the rollout is complete.
	 * @return the next step
	 */
	public RolloutStep pause() {
		return new RolloutStep(this.orderId, this.number + 1, this.phase, 0, RolloutState.IN_PROGRESS);
	}

	/**
	 * Returns which of two steps holds.
	 * @param first a step
	 * @param second another step
	 * @return the one of the newer order or with the higher number; of two with the same
	 * number, the one with the lower share
	 */
	public static RolloutStep newest(RolloutStep first, RolloutStep second) {
		if (first.orderId != second.orderId) {
			return (first.orderId > second.orderId) ? first : second;
		}
		if (first.number != second.number) {
			return (first.number > second.number) ? first : second;
		}
		return (first.share <= second.share) ? first : second;
	}

	RolloutStep next(RolloutPhase nextPhase, double nextShare) {
		return new RolloutStep(this.orderId, this.number + 1, nextPhase, nextShare, RolloutState.IN_PROGRESS);
	}

}
