package org.fulmargap.placement;

/**
 * The load that an endpoint stated, with the time of its response.
 *
 * @param load the load
 * @param receivedAtMs when the head of the response was read, in milliseconds
 */
public record AgedLoadNotice(EndpointLoadNotice load, long receivedAtMs) {

	/**
	 * The age from which on the stated speed says nothing any more, in milliseconds. The
	 * speed changes many times a second, and calls take some hundred milliseconds.
	 */
	static final long SPEED_LIFETIME_MS = 600;

	/** The bounds of the stated slowdown factor, to limit the effect of outliers. */
	private static final double MIN_FACTOR = 0.5;

	private static final double MAX_FACTOR = 20;

	private static final double PERCENT = 100;

	/**
	 * Returns the age of the notice.
	 * @param nowMs the current time in milliseconds
	 * @return the age in milliseconds
	 */
	public long ageMs(long nowMs) {
		return Math.max(0, nowMs - this.receivedAtMs);
	}

	/**
	 * Returns the slowdown factor that the endpoint stated.
	 * @return the factor; 1 if it stated none
	 */
	double statedFactor() {
		double factor = this.load.slownessPercent().orElse((int) PERCENT) / PERCENT;
		return Math.max(MIN_FACTOR, Math.min(MAX_FACTOR, factor));
	}

	/**
	 * Returns the slowdown factor to expect from the stated one, which approaches 1 with
	 * the age of the notice.
	 * @param nowMs the current time in milliseconds
	 * @return the factor; 1 if the notice is too old
	 */
	double statedFactor(long nowMs) {
		double weight = Math.max(0, 1 - ageMs(nowMs) / (double) SPEED_LIFETIME_MS);
		return 1 + weight * (statedFactor() - 1);
	}

}
