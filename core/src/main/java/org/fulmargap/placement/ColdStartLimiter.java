package org.fulmargap.placement;

/**
 * Spaces the requests of this entry VM to a cold endpoint. All entry VMs together keep to
 * what the endpoint bears because each takes an equal share of its rate.
 */
final class ColdStartLimiter {

	private static final double MS_PER_SECOND = 1_000;

	private long nextAtMs = Long.MIN_VALUE;

	private double intervalMs;

	private long checkedAtMs;

	/**
	 * Tells whether one more request may be sent.
	 * @param perSecond this VM's share of the requests a second
	 * @param nowMs the present time in milliseconds
	 * @return {@code true} if it may
	 */
	boolean isAvailable(double perSecond, long nowMs) {
		this.intervalMs = (perSecond > 0) ? MS_PER_SECOND / perSecond : 0;
		this.checkedAtMs = nowMs;
		return nowMs >= this.nextAtMs;
	}

	/**
	 * Records that a request is sent, after {@link #isAvailable} allowed it.
	 */
	void take() {
		this.nextAtMs = this.checkedAtMs + (long) this.intervalMs;
	}

}
