package org.fulmargap.entry.endpoint;

/**
 * Why a call to an endpoint ended without a complete answer.
 */
public enum CallFailure {

	/** The connection could not be opened, so nothing was sent. */
	NOT_CONNECTED(false),

	/** This VM reaches no endpoint and no other VM could help, so nothing was sent. */
	CUT_OFF(false),

	/**
	 * The endpoint was set aside, the connection was closed, or the time or the caller of
	 * the request was gone, before it was sent.
	 */
	WITHDRAWN(false),

	/** The endpoint answered that it has not run the request. */
	REFUSED(false),

	/** The connection broke after the request, or a part of it, was sent. */
	CONNECTION_LOST(true),

	/** The stream ended inside an event, or without any event. */
	STREAM_CUT(true),

	/**
	 * The endpoint sent invalid HTTP, an answer without the attempt id, one that was put
	 * together from two, a success without its signature header, or an answer that does
	 * not continue the stream that the caller receives.
	 */
	WRONG_ANSWER(true),

	/** The answer did not arrive in time. */
	TIMED_OUT(true);

	private final boolean mayHaveRun;

	CallFailure(boolean mayHaveRun) {
		this.mayHaveRun = mayHaveRun;
	}

	/**
	 * Returns whether the request may have reached the endpoint, which uses up a part of
	 * the retry budget when it is sent again.
	 * @return {@code false} if nothing was sent
	 */
	public boolean mayHaveArrived() {
		return this != NOT_CONNECTED && this != CUT_OFF && this != WITHDRAWN;
	}

	/**
	 * Returns whether the endpoint is at fault.
	 * @return {@code false} if it was not sent the request or refused it
	 */
	public boolean isFault() {
		return this != CUT_OFF && this != WITHDRAWN && this != REFUSED;
	}

	/**
	 * Returns whether the request may have run.
	 * @return {@code false} if it can't have run
	 */
	public boolean mayHaveRun() {
		return this.mayHaveRun;
	}

}
