package org.fulmargap.entry.request;

/**
 * How the times after which callers may retry are spread, so that those that were refused
 * together don't all return in one instant.
 */
enum RetryAfterSpread {

	/** Around the given time, limited by the time that the caller has left. */
	AROUND {
		@Override
		double spreadMs(long retryAfterMs, long leftMs, double random) {
			double spread = 1 - AROUND_WIDTH / 2 + AROUND_WIDTH * random;
			return Math.min(retryAfterMs, leftMs * MAX_SHARE) * spread;
		}
	},

	/** After the given time. A caller without so much time learns that, too. */
	AFTER {
		@Override
		double spreadMs(long retryAfterMs, long leftMs, double random) {
			double widthMs = Math.max(MIN_WIDTH_MS, retryAfterMs * AFTER_WIDTH);
			return Math.ceil((retryAfterMs + widthMs * random) / HEADER_UNIT_MS) * HEADER_UNIT_MS;
		}
	};

	/**
	 * The longest time before the random spread, as a share of the time that the caller
	 * has left.
	 */
	private static final double MAX_SHARE = 0.25;

	/**
	 * The width of the random spread as a share of its mean: 0.5 gives 0.75 to 1.25 times
	 * the mean.
	 */
	private static final double AROUND_WIDTH = 0.5;

	/** The width of the random spread as a share of the given time. */
	private static final double AFTER_WIDTH = 0.5;

	/** The smallest width of the random spread after a given time, in milliseconds. */
	private static final double MIN_WIDTH_MS = 500;

	/** The unit of the header, in milliseconds: it has two decimal places. */
	private static final double HEADER_UNIT_MS = 10;

	/**
	 * Returns the time for one caller.
	 * @param retryAfterMs the time to spread, in milliseconds
	 * @param leftMs how long the caller still waits, in milliseconds
	 * @param random a random number from 0 to 1
	 * @return the time in milliseconds
	 */
	abstract double spreadMs(long retryAfterMs, long leftMs, double random);

}
