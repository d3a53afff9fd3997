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

	RolloutStep next(RolloutPhase nextPhase, double nextShare) {
		return new RolloutStep(this.orderId, this.number + 1, nextPhase, nextShare, RolloutState.IN_PROGRESS);
	}

	RolloutStep end(RolloutState finalState) {
		double finalShare = (finalState == RolloutState.COMPLETE) ? 1 : 0;
		return new RolloutStep(this.orderId, this.number + 1, this.phase, finalShare, finalState);
	}

}
