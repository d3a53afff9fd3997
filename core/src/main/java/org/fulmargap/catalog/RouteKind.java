package org.fulmargap.catalog;

/**
 * Whether the requests of a route may be retried, and whether answers are streams.
 */
public enum RouteKind {

	/** The request may run any number of times. */
	IDEMPOTENT(true, false),

	/** The request may run at most once. */
	NON_IDEMPOTENT(false, false),

	/** The answer is a stream of events; the request runs once unless it is resumable. */
	STREAMING(false, true);

	private final boolean retryable;

	private final boolean streaming;

	RouteKind(boolean retryable, boolean streaming) {
		this.retryable = retryable;
		this.streaming = streaming;
	}

	/**
	 * Returns whether a request may be sent to another endpoint after it may have run.
	 * @param resumable whether the route allows streams to be resumed at another endpoint
	 * @return {@code true} if it may be retried
	 */
	public boolean isRetryable(boolean resumable) {
		return this.retryable || (this.streaming && resumable);
	}

	/**
	 * Returns whether answers are streams of events.
	 * @return {@code true} for streams
	 */
	public boolean isStreaming() {
		return this.streaming;
	}

}
