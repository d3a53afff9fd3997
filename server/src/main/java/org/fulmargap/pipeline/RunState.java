package org.fulmargap.pipeline;

/**
 * How much of a request may have run. The states are ordered.
 */
public enum RunState {

	/** It is certain that no endpoint ran a stage. */
	NOT_RUN,

	/**
	 * Stages may have run, but no action of a non-idempotent pipeline.
	 */
	COMPUTED,

	/** An action of a non-idempotent pipeline may have run. */
	ACTED;

	/**
	 * Returns whether the idempotency key of the request may be used for another run.
	 * @return {@code true} unless an action may have run
	 */
	public boolean allowsKeyReuse() {
		return this != ACTED;
	}

}
