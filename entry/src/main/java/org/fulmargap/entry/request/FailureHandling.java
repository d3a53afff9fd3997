package org.fulmargap.entry.request;

import org.fulmargap.platform.EndpointAnswer;

/**
 * What becomes of a request when an endpoint answered with a failure and did not state
 * that the request has not run. See {@code docs/design/failed-answers.md}.
 */
enum FailureHandling {

	/** The request is sent to another endpoint. */
	RETRY,

	/** The caller gets the answer unchanged. */
	FORWARD,

	/**
	 * The caller gets status 502: the request may have run, and the status of the answer
	 * would deny it.
	 */
	REPLACE;

	/**
	 * Returns how a failure is handled.
	 * @param answer the answer of the endpoint
	 * @param retryable whether the request may run more than once
	 * @param mayRetry whether another call may be made now
	 * @return the handling
	 */
	static FailureHandling of(EndpointAnswer answer, boolean retryable, boolean mayRetry) {
		if (mayRetry) {
			return RETRY;
		}
		return (answer.statusDeniesRun() && !retryable) ? REPLACE : FORWARD;
	}

}
