package org.fulmargap.placement;

/**
 * Limits the rate of requests from this entry VM to a cold endpoint by spacing them
 * evenly. Each entry VM uses an equal share of the rate that the endpoint can handle, so
 * that all of them together stay within it.
 */
final class ColdStartLimiter {

	private static final double MS_PER_SECOND = 1_000;

	private long nextAtMs = Long.MIN_VALUE;

	private double intervalMs;

	private long checkedAtMs;

	/**
	 * Returns whether one more request may be sent. Remembers the rate and the time for
	 * {@link #recordSent}.
	 * @param perSecond this VM's share of the rate, in requests per second; 0 for no
	 * limit
	 * @param nowMs the current time in milliseconds
	 * @return {@code true} if the request may be sent
	 */
	boolean maySend(double perSecond, long nowMs) {
		this.intervalMs = (perSecond > 0) ? MS_PER_SECOND / perSecond : 0;
		this.checkedAtMs = nowMs;
		return nowMs >= this.nextAtMs;
	}

	/**
	 * Records that a request is sent. The next one may be sent one interval after the
	 * last check by {@link #maySend}.
	 */
	void recordSent() {
		this.nextAtMs = this.checkedAtMs + (long) this.intervalMs;
	}

}
