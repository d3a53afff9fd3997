package org.fulmargap.pipeline;

/**
 * How far a request got. The states are ordered.
 */
public enum RunState {

	/** No stage may have reached an endpoint. */
	NOT_RUN,

	/**
	 * Stages that only compute may have run, but no action of a non-idempotent pipeline.
	 */
	COMPUTED,

	/** An action of a non-idempotent pipeline may have run. */
	ACTED;

	/**
	 * Tells whether the idempotency key of the request may be used again.
	 * @return {@code true} if no action ran
	 */
	public boolean leavesKeyFree() {
		return this != ACTED;
	}

}
