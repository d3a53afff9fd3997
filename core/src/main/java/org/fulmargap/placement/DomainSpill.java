package org.fulmargap.placement;

import java.util.Collection;
import java.util.List;

/**
 * Decides which share of the requests of one service may leave the failure domain of
 * their VM. All VMs of a domain decide on the same reports and come to about the same
 * share. Confined to one thread.
 */
public final class DomainSpill {

	/**
	 * The least difference between the waits, costs included, at which requests start to
	 * leave, in milliseconds.
	 */
	private static final double MARGIN_MS = 5;

	/** The same, as a share of the wait at home. */
	private static final double MARGIN_SHARE = 0.25;

	/** How long the difference must last before requests leave, in milliseconds. */
	private static final long LEAVE_AFTER_MS = 1_000;

	/**
	 * How long leaving must not pay before a share below a step ends, in milliseconds.
	 */
	private static final long STAY_AFTER_MS = 3_000;

	/** The time constant of the averages of the waits, in milliseconds. */
	private static final double SMOOTHING_MS = 1_000;

	/**
	 * The time in which the share changes by what would even out the waits, in
	 * milliseconds. It is several times the age of the reports, which arrive up to 750 ms
	 * late through two hubs.
	 */
	private static final double ADJUST_MS = 3_000;

	/**
	 * The time constant with which the share decays, in milliseconds. Shares of VMs that
	 * differ, for example after a restart, approach each other through it.
	 */
	private static final double DECAY_MS = 15_000;

	/** The steps in which the share changes; smaller ones are not worth a log line. */
	private static final double STEP = 0.05;

	/**
	 * A wait by which the adjustment is damped, in milliseconds: short waits differ by
	 * chance from report to report.
	 */
	private static final double NOISE_MS = 10;

	/** How long the share is kept if reports are missing, in milliseconds. */
	private static final long HOLD_MS = 10_000;

	/** The longest time between two updates that counts, in milliseconds. */
	private static final long MAX_UPDATE_MS = 1_000;

	/** The weight of a request in the moving average of the costs of leaving. */
	private static final double COST_WEIGHT = 0.02;

	private final boolean engine;

	private double lossMs;

	private double homeMs;

	private double elsewhereMs;

	private long updatedAtMs = Long.MIN_VALUE;

	private long completeAtMs = Long.MIN_VALUE;

	// Whether there are averages of the waits.
	private boolean measured;

	// Since when leaving has paid clearly, or has not paid; MAX_VALUE if neither.
	private long changesSinceMs = Long.MAX_VALUE;

	// A VM that starts follows the others, which may have passed the margin before.
	private boolean leaving = true;

	// The share before rounding.
	private double exactShare;

	private double share;

	/**
	 * Creates a decision by which all requests stay.
	 * @param engine whether the endpoints are model engines
	 */
	public DomainSpill(boolean engine) {
		this.engine = engine;
	}

	/**
	 * Returns the share of requests that may leave.
	 * @return the share, from 0 to 1
	 */
	public double share() {
		return this.share;
	}

	/**
	 * Returns whether a request may leave. All VMs give the same answer at the same
	 * share.
	 * @param attemptId the id of the attempt
	 * @return {@code true} if it may
	 */
	public boolean mayLeave(String attemptId) {
		return this.share > 0 && Placement.hash("leave:" + attemptId) < this.share;
	}

	/**
	 * Records what a request would lose by leaving: cached prompt tokens, and the time
	 * for the transfer of its inputs.
	 * @param demand what the request needs
	 * @param home the available endpoints in the domain of the VM
	 * @param homeDomain the name of that domain
	 * @param elsewhere the available endpoints in other domains
	 */
	public void record(Placement.Demand demand, List<Endpoint> home, String homeDomain, List<Endpoint> elsewhere) {
		double bytes = demand.inputs().stream().mapToLong(Placement.Input::sizeBytes).sum()
				- demand.remoteBytes(homeDomain);
		int lostTokens = Math.max(0, cachedTokens(home, demand.prompt()) - cachedTokens(elsewhere, demand.prompt()));
		double costMs = bytes / Placement.REMOTE_BYTES_PER_MS
				+ lostTokens * Placement.UNREAD_WEIGHT / Placement.PREFILL_TOKENS_PER_MS;
		this.lossMs += COST_WEIGHT * (costMs - this.lossMs);
	}

	/**
	 * Returns whether a request may leave at any share because of the time for the
	 * transfer of its inputs to the domain of the VM.
	 * @param demand what the request needs
	 * @param homeDomain the name of that domain
	 * @return {@code true} if the transfer takes longer than the margin of the decision
	 */
	public static boolean hasInputsElsewhere(Placement.Demand demand, String homeDomain) {
		return demand.remoteBytes(homeDomain) / Placement.REMOTE_BYTES_PER_MS > MARGIN_MS;
	}

	private static int cachedTokens(List<Endpoint> endpoints, Prompt prompt) {
		if (prompt.parts().isEmpty()) {
			return 0;
		}
		return endpoints.stream().mapToInt((endpoint) -> endpoint.cachedTokens(prompt)).max().orElse(0);
	}

	/**
	 * Decides on the newest reports.
	 * @param home the load in the domain of the VM
	 * @param others the load in each other domain that is neither evacuated nor cut off
	 * @param complete whether most other VMs were heard lately
	 * @param nowMs the current time in milliseconds
	 * @return the decision
	 */
	public Decision update(DomainLoad home, Collection<DomainLoad> others, boolean complete, long nowMs) {
		long passedMs = (this.updatedAtMs != Long.MIN_VALUE) ? Math.min(MAX_UPDATE_MS, nowMs - this.updatedAtMs) : 0;
		this.updatedAtMs = nowMs;
		this.completeAtMs = (complete) ? nowMs : this.completeAtMs;
		DomainLoad elsewhere = cheaper(home, others);
		if (elsewhere.endpoints() <= 0) {
			return reset(0, Reason.NOTHING_ELSEWHERE);
		}
		if (home.endpoints() <= 0) {
			// Requests return gradually when endpoints are available again.
			return reset(1, Reason.NOTHING_AT_HOME);
		}
		if (!complete && this.completeAtMs != Long.MIN_VALUE && nowMs - this.completeAtMs < HOLD_MS) {
			return decision(Reason.REPORTS_MISSING);
		}
		double weight = (this.measured) ? passedMs / (passedMs + SMOOTHING_MS) : 1;
		this.measured = true;
		this.homeMs += weight * (home.signedWaitMs(this.engine) - this.homeMs);
		this.elsewhereMs += weight * (elsewhere.waitMs(this.engine) - this.elsewhereMs);
		double gainMs = this.homeMs - this.elsewhereMs - leavingMs();
		if (this.leaving) {
			adjust(gainMs, home.capacity(this.engine) / elsewhere.capacity(this.engine), passedMs, nowMs);
		}
		else {
			startIfPaying(gainMs, home.capacity(this.engine) / elsewhere.capacity(this.engine), nowMs);
		}
		round();
		return decision((this.share > 0) ? Reason.WAITS_AT_HOME : Reason.STAYS);
	}

	// The domains where a request would wait less, or the one with the shortest wait.
	private DomainLoad cheaper(DomainLoad home, Collection<DomainLoad> others) {
		double limitMs = home.waitMs(this.engine) - leavingMs();
		DomainLoad sum = DomainLoad.NONE;
		DomainLoad best = DomainLoad.NONE;
		for (DomainLoad other : others) {
			double waitMs = other.waitMs(this.engine);
			sum = (waitMs < limitMs) ? sum.plus(other) : sum;
			best = (waitMs < best.waitMs(this.engine)) ? other : best;
		}
		return (sum.endpoints() > 0) ? sum : best;
	}

	private double leavingMs() {
		return Placement.REMOTE_DOMAIN_MS + this.lossMs;
	}

	private void startIfPaying(double gainMs, double capacityRatio, long nowMs) {
		if (gainMs <= Math.max(MARGIN_MS, MARGIN_SHARE * this.homeMs)) {
			this.changesSinceMs = Long.MAX_VALUE;
			return;
		}
		this.changesSinceMs = Math.min(this.changesSinceMs, nowMs);
		if (nowMs - this.changesSinceMs >= LEAVE_AFTER_MS) {
			this.leaving = true;
			this.changesSinceMs = Long.MAX_VALUE;
			this.exactShare = moved(gainMs, capacityRatio);
		}
	}

	// The part of the load at home that has to move to even out the waits.
	private double moved(double gainMs, double capacityRatio) {
		return gainMs / ((this.homeMs + NOISE_MS) * (1 + capacityRatio));
	}

	private void adjust(double gainMs, double capacityRatio, long passedMs, long nowMs) {
		double time = passedMs / ADJUST_MS;
		if (gainMs > 0) {
			this.exactShare += (1 - this.exactShare) * moved(gainMs, capacityRatio) * time;
		}
		else {
			double returned = Math.min(1, -gainMs / (this.elsewhereMs + leavingMs() + NOISE_MS));
			this.exactShare -= this.exactShare * returned * time;
		}
		this.exactShare -= this.exactShare * passedMs / DECAY_MS;
		this.changesSinceMs = (gainMs <= 0 && this.exactShare < STEP) ? Math.min(this.changesSinceMs, nowMs)
				: Long.MAX_VALUE;
		if (nowMs - this.changesSinceMs >= STAY_AFTER_MS) {
			this.leaving = false;
			this.changesSinceMs = Long.MAX_VALUE;
			this.exactShare = 0;
		}
	}

	private void round() {
		if (this.exactShare == 0 || Math.abs(this.exactShare - this.share) >= STEP) {
			this.share = Math.round(this.exactShare / STEP) * STEP;
		}
	}

	private Decision reset(double newShare, Reason reason) {
		this.leaving = newShare > 0;
		this.changesSinceMs = Long.MAX_VALUE;
		this.exactShare = newShare;
		this.share = newShare;
		this.measured = false;
		this.homeMs = 0;
		this.elsewhereMs = 0;
		return decision(reason);
	}

	private Decision decision(Reason reason) {
		return new Decision(this.share, Math.max(0, this.homeMs), this.elsewhereMs, leavingMs(), reason);
	}

	/**
	 * Why a share was decided.
	 */
	public enum Reason {

		/** Leaving doesn't pay. */
		STAYS,

		/** The wait at home exceeds that elsewhere and the costs of leaving. */
		WAITS_AT_HOME,

		/** No endpoint is available in the domain of the VM. */
		NOTHING_AT_HOME,

		/** No endpoint is available in a domain that can be reached. */
		NOTHING_ELSEWHERE,

		/** Too few VMs were heard; the last share is kept for a while. */
		REPORTS_MISSING

	}

	/**
	 * A share and what it was derived from.
	 *
	 * @param share the share of requests that may leave, from 0 to 1
	 * @param homeMs the expected wait at home, in milliseconds
	 * @param elsewhereMs the expected wait elsewhere, in milliseconds
	 * @param leavingMs the expected costs of leaving, in milliseconds
	 * @param reason why
	 */
	public record Decision(double share, double homeMs, double elsewhereMs, double leavingMs, Reason reason) {
	}

}
