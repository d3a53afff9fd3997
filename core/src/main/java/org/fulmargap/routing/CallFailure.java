package org.fulmargap.routing;

import org.fulmargap.request.DispatchState;

/**
 * Ways in which a call to an endpoint fails.
 */
public enum CallFailure {

	/** No connection could be established. */
	CONNECT_FAILED(DispatchState.NOT_SENT, true),

	/** The endpoint answered that it did not start the request. */
	REJECTED(DispatchState.NOT_SENT, false),

	/** The endpoint answered that it is leaving and did not start the request. */
	LEAVING(DispatchState.NOT_SENT, true),

	/** The connection was lost after bytes were written. */
	CONNECTION_LOST(DispatchState.MAYBE_SENT, true),

	/** The call made no progress, and a probe showed that the connection is dead. */
	CONNECTION_SILENT(DispatchState.MAYBE_SENT, false),

	/** The call timed out. */
	TIMED_OUT(DispatchState.MAYBE_SENT, true),

	/** The endpoint answered with an error status. */
	ERROR_STATUS(DispatchState.MAYBE_SENT, true),

	/** The answer belongs to another attempt. */
	CROSSED_ANSWER(DispatchState.MAYBE_SENT, true),

	/** The answer was incomplete or could not be parsed. */
	INCOMPLETE_ANSWER(DispatchState.MAYBE_SENT, true);

	private final DispatchState dispatchState;

	private final boolean countsAgainstEndpoint;

	CallFailure(DispatchState dispatchState, boolean countsAgainstEndpoint) {
		this.dispatchState = dispatchState;
		this.countsAgainstEndpoint = countsAgainstEndpoint;
	}

	/**
	 * Returns the dispatch state of the attempt after this failure.
	 * @return the dispatch state
	 */
	public DispatchState dispatchState() {
		return this.dispatchState;
	}

	/**
	 * Returns whether the failure counts against the health of the endpoint.
	 * @return {@code true} if the endpoint should get less work
	 */
	public boolean countsAgainstEndpoint() {
		return this.countsAgainstEndpoint;
	}

}
