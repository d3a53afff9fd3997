package org.fulmargap.placement;

/**
 * Rates the health of an endpoint by the outcomes of the calls that this VM made to it. A
 * failure can suspend it, for a time that doubles with each consecutive failure. The
 * share of failures among the recent calls adds to its cost in {@link Placement}.
 */
final class EndpointHealthState {

	/** The first suspension in milliseconds: about the time of a process restart. */
	private static final long FIRST_SUSPENSION_MS = 400;

	/** The longest suspension in milliseconds. */
	private static final long MAX_SUSPENSION_MS = 3_000;

	/** The weight of the newest outcome in the moving average of failures. */
	private static final double FAILURE_WEIGHT = 0.2;

	/** The time constant of the decay of the failure share, in milliseconds. */
	private static final double DECAY_MS = 4_000;

	private int consecutiveFailures;

	private double failureShare;

	private long updatedAtMs;

	private long suspendedUntilMs = Long.MIN_VALUE;

	void succeeded(long nowMs) {
		this.failureShare = failureShare(nowMs) * (1 - FAILURE_WEIGHT);
		this.updatedAtMs = nowMs;
		this.consecutiveFailures = 0;
		this.suspendedUntilMs = Long.MIN_VALUE;
	}

	void failed(long nowMs, boolean suspend) {
		this.failureShare = failureShare(nowMs) * (1 - FAILURE_WEIGHT) + FAILURE_WEIGHT;
		this.updatedAtMs = nowMs;
		this.consecutiveFailures++;
		if (suspend) {
			long suspensionMs = FIRST_SUSPENSION_MS << Math.min(4, this.consecutiveFailures - 1);
			this.suspendedUntilMs = nowMs + Math.min(MAX_SUSPENSION_MS, suspensionMs);
		}
	}

	void clear() {
		this.failureShare = 0;
		this.consecutiveFailures = 0;
		this.suspendedUntilMs = Long.MIN_VALUE;
	}

	boolean isSuspended(long nowMs) {
		return nowMs < this.suspendedUntilMs;
	}

	double failureShare(long nowMs) {
		double ageMs = Math.max(0, nowMs - this.updatedAtMs);
		return this.failureShare * Math.exp(-ageMs / DECAY_MS);
	}

}
