package org.fulmargap.catalog;

/**
 * What may be repeated of the requests of a route.
 */
public enum RouteKind {

	/** The request may run any number of times. */
	IDEMPOTENT(true, false),

	/** The request may run at most once. */
	NON_IDEMPOTENT(false, false),

	/** The answer is a series of events; the request runs once unless it is resumable. */
	STREAMING(false, true);

	private final boolean retryable;

	private final boolean streaming;

	RouteKind(boolean retryable, boolean streaming) {
		this.retryable = retryable;
		this.streaming = streaming;
	}

	/**
	 * Tells whether a request may be sent to another endpoint after it may have run.
	 * @param resumable whether the route lets streams go on at another endpoint
	 * @return {@code true} if it may
	 */
	public boolean isRetryable(boolean resumable) {
		return this.retryable || (this.streaming && resumable);
	}

	/**
	 * Tells whether answers are series of events.
	 * @return {@code true} for streams
	 */
	public boolean isStreaming() {
		return this.streaming;
	}

}
