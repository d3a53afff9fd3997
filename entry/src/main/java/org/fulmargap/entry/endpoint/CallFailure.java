package org.fulmargap.entry.endpoint;

/**
 * Why a call to an endpoint ended without a complete answer.
 */
public enum CallFailure {

	/** No connection came about: nothing was sent. */
	NOT_CONNECTED(false),

	/** The connection broke after the request, or a part of it, was sent. */
	CONNECTION_LOST(true),

	/** The endpoint sent bytes that are no answer to the request. */
	WRONG_ANSWER(true),

	/** The answer did not come in time. */
	TIMED_OUT(true);

	private final boolean mayHaveRun;

	CallFailure(boolean mayHaveRun) {
		this.mayHaveRun = mayHaveRun;
	}

	/**
	 * Tells whether the request may have run.
	 * @return {@code false} if it certainly has not
	 */
	public boolean mayHaveRun() {
		return this.mayHaveRun;
	}

}
