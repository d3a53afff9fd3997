package org.fulmargap.rollout;

/**
 * The state of a rollout.
 */
public enum RolloutState {

	/** Both versions may get requests. */
	IN_PROGRESS,

	/** The new version gets all requests, and the old endpoints stop. */
	COMPLETE,

	/** The new version gets no requests any more. */
	REVERTED;

	/**
	 * Returns whether the rollout has ended.
	 * @return {@code true} if its state never changes again
	 */
	public boolean isFinal() {
		return this != IN_PROGRESS;
	}

}
