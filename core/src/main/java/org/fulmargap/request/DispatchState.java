package org.fulmargap.request;

/**
 * Progress of the dispatch of one attempt. A request may be reported as not run only if
 * every attempt is still {@link #NOT_SENT}.
 */
public enum DispatchState {

	/** No byte was written to an established connection. */
	NOT_SENT,

	/** Bytes may have reached the endpoint, and no answer arrived. */
	MAYBE_SENT,

	/** The endpoint answered. */
	ANSWERED;

	/**
	 * Returns whether the endpoint may have run the attempt.
	 * @return {@code false} only if it is certain that the attempt did not reach the
	 * endpoint
	 */
	public boolean mayHaveRun() {
		return this != NOT_SENT;
	}

}
