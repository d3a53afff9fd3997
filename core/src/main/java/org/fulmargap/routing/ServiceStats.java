package org.fulmargap.routing;

/**
 * Durations of the calls to one service. Safe for use by several threads.
 */
final class ServiceStats {

	/** Weight of a new sample in the estimate of the time per prompt token. */
	private static final double SAMPLE_WEIGHT = 0.02;

	private final DurationWindow durations = new DurationWindow(256);

	private double meanTokens;

	private double meanMs;

	private double tokenVariance;

	private double covariance;

	private long samples;

	private volatile long medianMs;

	private volatile long p99Ms;

	private volatile double baseMedianMs;

	private volatile double msPerToken;

	synchronized void add(long durationMs, int uncachedTokens) {
		this.durations.add(durationMs, uncachedTokens);
		this.samples++;
		this.medianMs = this.durations.median();
		this.p99Ms = this.durations.quantile(0.99);
		// The first samples have equal weights, so that the estimate is usable early.
		double weight = Math.max(SAMPLE_WEIGHT, 1.0 / this.samples);
		double tokens = uncachedTokens - this.meanTokens;
		double ms = durationMs - this.meanMs;
		this.meanTokens += weight * tokens;
		this.meanMs += weight * ms;
		this.tokenVariance = (1 - weight) * (this.tokenVariance + weight * tokens * tokens);
		this.covariance = (1 - weight) * (this.covariance + weight * tokens * ms);
		this.msPerToken = (this.tokenVariance > 1) ? Math.max(0, this.covariance / this.tokenVariance) : 0;
		this.baseMedianMs = this.durations.baseMedian(this.msPerToken);
	}

	/**
	 * Returns a duration without the time for computing the prompt, so that endpoints can
	 * be compared whose requests had different numbers of cached prompt tokens.
	 * @param durationMs the duration of a call in milliseconds
	 * @param uncachedTokens the prompt tokens that the endpoint computed
	 * @return milliseconds, at least zero
	 */
	long baseMs(long durationMs, int uncachedTokens) {
		return Math.max(0, durationMs - (long) (uncachedTokens * this.msPerToken));
	}

	double baseMedianMs() {
		return this.baseMedianMs;
	}

	long medianMs() {
		return this.medianMs;
	}

	long p99Ms() {
		return this.p99Ms;
	}

	double msPerToken() {
		return this.msPerToken;
	}

}
