package org.fulmargap.routing;

/**
 * Back-off of one endpoint after failures. Not safe for use by several threads.
 */
final class EndpointHealth {

	static final long FIRST_BACK_OFF_MS = 200;

	/** Bounds how long an endpoint that works again stays unused. */
	static final long MAX_BACK_OFF_MS = 5_000;

	/** Failures that one request can cause alone count only when they repeat. */
	private static final int FAILURES_TO_BACK_OFF = 3;

	private int failures;

	private long backOffMs;

	private long retryAtMs;

	private long failedAtMs;

	private boolean probing;

	/**
	 * Tells whether a request may be sent.
	 * @param nowMs the present time in milliseconds since the epoch
	 * @return {@code true} if the endpoint is healthy, or its back-off has passed and no
	 * other request probes it
	 */
	boolean isUsable(long nowMs) {
		return !isBackingOff() || (nowMs >= this.retryAtMs && !this.probing);
	}

	boolean isBackingOff() {
		return this.backOffMs > 0;
	}

	/**
	 * Notes that a request was sent.
	 * @return {@code true} if the request is the probe of an endpoint in back-off
	 */
	boolean sent() {
		if (isBackingOff()) {
			this.probing = true;
			return true;
		}
		return false;
	}

	void probeEnded() {
		this.probing = false;
	}

	void succeeded() {
		this.failures = 0;
		this.backOffMs = 0;
	}

	/**
	 * Records a failure that the endpoint is blamed for.
	 * @param failure how the call failed
	 * @param wasProbe whether the call was the probe
	 * @param nowMs the present time in milliseconds since the epoch
	 */
	void failed(CallFailure failure, boolean wasProbe, long nowMs) {
		this.failures++;
		boolean isConnection = failure == CallFailure.CONNECT_FAILED || failure == CallFailure.CONNECTION_LOST;
		if (isBackingOff() && !wasProbe) {
			return;
		}
		if (wasProbe || isConnection || this.failures >= FAILURES_TO_BACK_OFF) {
			this.backOffMs = (isBackingOff()) ? Math.min(2 * this.backOffMs, MAX_BACK_OFF_MS) : FIRST_BACK_OFF_MS;
			this.retryAtMs = nowMs + this.backOffMs;
			this.failedAtMs = nowMs;
		}
	}

	/**
	 * Notes that the endpoint reported its load, so a probe is likely to connect.
	 * @param reportedAtMs when the endpoint took the reading
	 * @param nowMs the present time in milliseconds since the epoch
	 */
	void reported(long reportedAtMs, long nowMs) {
		if (isBackingOff() && reportedAtMs > this.failedAtMs && this.failures < 2 * FAILURES_TO_BACK_OFF) {
			this.retryAtMs = Math.min(this.retryAtMs, nowMs);
		}
	}

}
