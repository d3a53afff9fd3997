package org.fulmargap.placement;

/**
 * Allows requests at a rate. A request takes a token; tokens are added evenly up to a
 * capacity, which also bounds what is added after a suspension of this VM.
 */
final class TokenBucket {

	private static final double MS_PER_SECOND = 1_000;

	/** The time of which the tokens are kept, in seconds, if that is more than one. */
	private static final double KEPT_SECONDS = 0.5;

	private double tokens;

	private long refilledAtMs = Long.MIN_VALUE;

	/**
	 * Adds the tokens of the time since the last call.
	 * @param perSecond the rate in tokens per second
	 * @param nowMs the current time in milliseconds
	 */
	void refill(double perSecond, long nowMs) {
		double added = (this.refilledAtMs != Long.MIN_VALUE)
				? Math.max(0, nowMs - this.refilledAtMs) / MS_PER_SECOND * perSecond : 0;
		this.refilledAtMs = nowMs;
		this.tokens = Math.min(this.tokens + added, Math.max(1, perSecond * KEPT_SECONDS));
	}

	double tokens() {
		return this.tokens;
	}

	void take() {
		this.tokens -= 1;
	}

	void clear() {
		this.tokens = 0;
		this.refilledAtMs = Long.MIN_VALUE;
	}

	/**
	 * Returns how long it takes until there are so many tokens, if none is taken.
	 * @param needed the number of tokens
	 * @param perSecond the rate in tokens per second
	 * @return the time in milliseconds; 0 if there are so many
	 */
	long waitMs(double needed, double perSecond) {
		double missing = needed - this.tokens;
		return (missing > 0) ? (long) Math.ceil(missing / perSecond * MS_PER_SECOND) : 0;
	}

}
