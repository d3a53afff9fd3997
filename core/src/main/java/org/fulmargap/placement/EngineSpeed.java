package org.fulmargap.placement;

import java.util.OptionalDouble;

/**
 * What this VM has learned of the speed of one engine, from the times to the first events
 * of its own requests. Confined to one thread.
 */
final class EngineSpeed {

	/** The weight of the newest first event in the moving average. */
	private static final double NEWEST_WEIGHT = 0.1;

	/** The number of first events before the average says something. */
	private static final int MIN_MEASUREMENTS = 10;

	/** The bounds of a single ratio, to limit the effect of outliers. */
	private static final double MIN_RATIO = 0.25;

	private static final double MAX_RATIO = 6;

	/**
	 * The number of unread tokens from which on the time to the first event says
	 * something: their prefill takes longer than the other parts of that time.
	 */
	private static final int MIN_UNREAD_TOKENS = 500;

	/**
	 * The time without measurements after which what was learned has half its weight, in
	 * milliseconds.
	 */
	private static final double HALF_LIFE_MS = 5_000;

	private double averageRatio;

	private int measurements;

	private long measuredAtMs;

	void clear() {
		this.measurements = 0;
	}

	/**
	 * Records a first event.
	 * @param measuredMs the time from sending to the first event, in milliseconds
	 * @param expectedMs the expected time at an engine of usual speed, in milliseconds
	 * @param unreadTokens the prompt tokens that were not expected in the prefix cache
	 * @param nowMs the current time in milliseconds
	 */
	void firstEvent(double measuredMs, double expectedMs, int unreadTokens, long nowMs) {
		if (unreadTokens < MIN_UNREAD_TOKENS || expectedMs <= 0) {
			return;
		}
		double ratio = Math.max(MIN_RATIO, Math.min(MAX_RATIO, measuredMs / expectedMs));
		// At first, all measurements count equally. After a pause, the earlier
		// measurements count less.
		double newestWeight = Math.max(Math.max(NEWEST_WEIGHT, 1.0 / (this.measurements + 1)), 1 - weight(nowMs));
		this.averageRatio += newestWeight * (ratio - this.averageRatio);
		this.measurements++;
		this.measuredAtMs = nowMs;
	}

	/**
	 * Returns the average ratio of measured to expected times.
	 * @return the ratio, or empty if too few first events were measured
	 */
	OptionalDouble ratio() {
		return (this.measurements >= MIN_MEASUREMENTS) ? OptionalDouble.of(this.averageRatio) : OptionalDouble.empty();
	}

	/**
	 * Returns the weight of what was learned.
	 * @param nowMs the current time in milliseconds
	 * @return 1 after a measurement, approaching 0 without further ones
	 */
	double weight(long nowMs) {
		return Math.pow(0.5, Math.max(0, nowMs - this.measuredAtMs) / HALF_LIFE_MS);
	}

}
