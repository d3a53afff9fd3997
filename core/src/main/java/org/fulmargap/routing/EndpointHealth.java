package org.fulmargap.routing;

/**
 * Backoff of one endpoint after failures. Not safe for use by several threads.
 */
final class EndpointHealth {

	static final long INITIAL_BACKOFF_MS = 200;

	/** Bounds the time for which a recovered endpoint stays unused. */
	static final long MAX_BACKOFF_MS = 5_000;

	/**
	 * A single request can cause failures other than connection failures, so these start
	 * a backoff only after this many failures without a success.
	 */
	private static final int FAILURES_TO_BACKOFF = 3;

	private int failures;

	private long backoffMs;

	private long retryAtMs;

	private long failedAtMs;

	private boolean probeInFlight;

	/**
	 * Returns whether a request may be sent to the endpoint.
	 * @param nowMs the current time in milliseconds since the epoch
	 * @return {@code true} if the endpoint is healthy, or its backoff has passed and no
	 * probe is in flight
	 */
	boolean isUsable(long nowMs) {
		return !isBackingOff() || (nowMs >= this.retryAtMs && !this.probeInFlight);
	}

	boolean isBackingOff() {
		return this.backoffMs > 0;
	}

	/**
	 * Records that a request was sent.
	 * @return {@code true} if the request is the probe of an endpoint in backoff
	 */
	boolean requestSent() {
		if (isBackingOff()) {
			this.probeInFlight = true;
			return true;
		}
		return false;
	}

	void probeEnded() {
		this.probeInFlight = false;
	}

	void succeeded() {
		this.failures = 0;
		this.backoffMs = 0;
	}

	/**
	 * Records a failure that counts against the health of the endpoint.
	 * @param failure how the call failed
	 * @param wasProbe whether the call was the probe
	 * @param nowMs the current time in milliseconds since the epoch
	 */
	void failed(CallFailure failure, boolean wasProbe, long nowMs) {
		this.failures++;
		boolean isConnection = failure == CallFailure.CONNECT_FAILED || failure == CallFailure.CONNECTION_LOST;
		if (isBackingOff() && !wasProbe) {
			return;
		}
		if (wasProbe || isConnection || this.failures >= FAILURES_TO_BACKOFF) {
			this.backoffMs = (isBackingOff()) ? Math.min(2 * this.backoffMs, MAX_BACKOFF_MS) : INITIAL_BACKOFF_MS;
			this.retryAtMs = nowMs + this.backoffMs;
			this.failedAtMs = nowMs;
		}
	}

	/**
	 * Records that the endpoint reported its load. A probe is then likely to connect, so
	 * it may start at once unless six or more failures were recorded since the last
	 * success.
	 * @param reportedAtMs when the endpoint measured the load, milliseconds since the
	 * epoch
	 * @param nowMs the current time in milliseconds since the epoch
	 */
	void loadReported(long reportedAtMs, long nowMs) {
		if (isBackingOff() && reportedAtMs > this.failedAtMs && this.failures < 2 * FAILURES_TO_BACKOFF) {
			this.retryAtMs = Math.min(this.retryAtMs, nowMs);
		}
	}

}
