package org.fulmargap.placement;

/**
 * Judges an endpoint by the outcomes of the calls that this VM made to it. After failures
 * in a row it is suspended for a time that doubles with each further failure; a share of
 * failed calls among the recent ones makes it less attractive.
 */
final class EndpointHealthState {

	/** The first suspension in milliseconds: about a restart of a process. */
	private static final long FIRST_SUSPENSION_MS = 400;

	/** The longest suspension in milliseconds. */
	private static final long MAX_SUSPENSION_MS = 3_000;

	/** The weight of the newest outcome in the share of failures. */
	private static final double FAILURE_WEIGHT = 0.2;

	/** How fast the share of failures fades without calls, in milliseconds. */
	private static final double FADE_MS = 4_000;

	private int failuresInRow;

	private double failureShare;

	private long judgedAtMs;

	private long suspendedUntilMs = Long.MIN_VALUE;

	void succeeded(long nowMs) {
		this.failureShare = failureShare(nowMs) * (1 - FAILURE_WEIGHT);
		this.judgedAtMs = nowMs;
		this.failuresInRow = 0;
		this.suspendedUntilMs = Long.MIN_VALUE;
	}

	void failed(long nowMs, boolean suspend) {
		this.failureShare = failureShare(nowMs) * (1 - FAILURE_WEIGHT) + FAILURE_WEIGHT;
		this.judgedAtMs = nowMs;
		this.failuresInRow++;
		if (suspend) {
			long suspensionMs = FIRST_SUSPENSION_MS << Math.min(4, this.failuresInRow - 1);
			this.suspendedUntilMs = nowMs + Math.min(MAX_SUSPENSION_MS, suspensionMs);
		}
	}

	boolean isSuspended(long nowMs) {
		return nowMs < this.suspendedUntilMs;
	}

	double failureShare(long nowMs) {
		double ageMs = Math.max(0, nowMs - this.judgedAtMs);
		return this.failureShare * Math.exp(-ageMs / FADE_MS);
	}

}
