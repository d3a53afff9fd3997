package org.fulmargap.rollout;

import java.util.Collection;
import java.util.Locale;

/**
 * Decides how much of a service's traffic its new software version gets, and when the
 * rollout is complete or reverted. The coordinator of the service asks at each heartbeat.
 * <p>
 * A version may turn out bad at any time. Until late in the time limit it therefore gets
 * only a part of the exposure that it is allowed. What is left then pays for the requests
 * that it gets between a fault at a high share and the rollback.
 */
public final class RolloutDecision {

	/** The part of the time limit after which a canary phase may end. */
	private static final double CANARY_TIME = 0.15;

	/** The part of the time limit in which all requests go to the new version. */
	private static final double FULL_TIME = 0.15;

	/**
	 * The shortest time for requests at old endpoints to end before these are stopped, in
	 * milliseconds.
	 */
	private static final long MIN_FULL_MS = 3_000;

	/** The longest time for them, in milliseconds: longer than nearly all streams. */
	private static final long MAX_FULL_MS = 10_000;

	/**
	 * How long a large part of the requests goes to the new version, in milliseconds:
	 * some heartbeats, so that faults are seen before it gets all.
	 */
	private static final long RAMP_MS = 1_500;

	/** The largest part of the time limit in which it does. */
	private static final double RAMP_TIME = 0.2;

	/**
	 * The time before the time limit at which the state becomes final, in milliseconds,
	 * for the write to the store.
	 */
	private static final long FINAL_MS = 1_000;

	/** The answers of the new version that allow a higher share. */
	private static final long MIN_ANSWERS = 20;

	/**
	 * The part of the exposure bound that the sum of the reports may reach. The reports
	 * are some heartbeats old.
	 */
	private static final double SAFE_PART = 0.8;

	/** The largest part of the time limit in which no request goes to the new version. */
	private static final double RATE_TIME = 0.1;

	/** The shortest time over which a rate is measured, in milliseconds. */
	private static final long MIN_RATE_TIME_MS = 1_000;

	private final RolloutOrder order;

	private final RolloutLimits limits;

	private final long orderedAtMs;

	/**
	 * Creates the decision for one order.
	 * @param order the order
	 * @param limits the bounds of what a bad version may get
	 * @param orderedAtMs when the order was given, in milliseconds
	 */
	public RolloutDecision(RolloutOrder order, RolloutLimits limits, long orderedAtMs) {
		this.order = order;
		this.limits = limits;
		this.orderedAtMs = orderedAtMs;
	}

	/**
	 * Decides on the step that holds from now on.
	 * @param last the step in force
	 * @param stepAtMs since when it has been in force, in milliseconds
	 * @param sum the reports of all VMs together
	 * @param recent the answers of the last seconds
	 * @param service what is known of the service now
	 * @param nowMs the current time in milliseconds
	 * @return the step, which is the last one if nothing changes, and the reason
	 */
	public Decision next(RolloutStep last, long stepAtMs, RolloutReport sum, Collection<RouteCounts> recent,
			ServiceState service, long nowMs) {
		if (last.state().isFinal()) {
			return new Decision(last, "final");
		}
		if (VersionEvidence.isWorse(sum.routes().values())) {
			return new Decision(last.end(RolloutState.REVERTED), "worse_answers");
		}
		if (VersionEvidence.isRecentlyWorse(recent)) {
			return new Decision(last.end(RolloutState.REVERTED), "worse_recent_answers");
		}
		long leftMs = this.orderedAtMs + this.order.durationMs() - nowMs;
		boolean sendsAll = last.phase() == RolloutPhase.FULL && last.share() >= 1;
		if (sendsAll && isConfirmed(last, sum, service) && (sum.oldInFlight() == 0 || leftMs <= FINAL_MS)) {
			return new Decision(last.end(RolloutState.COMPLETE), "confirmed");
		}
		if (leftMs <= FINAL_MS / 2) {
			return new Decision(last.end(RolloutState.REVERTED), "time_limit");
		}
		if (mayRise(last.phase(), stepAtMs, sum, service, nowMs)) {
			RolloutPhase next = last.phase().next();
			double share = next.share(this.limits, expectedRequests(sum, nowMs));
			return new Decision(last.next(next, share), "phase_" + next.name().toLowerCase(Locale.ROOT));
		}
		return new Decision(last, "unchanged");
	}

	// Whether all VMs in touch have followed the step.
	private static boolean isConfirmed(RolloutStep last, RolloutReport sum, ServiceState service) {
		return sum.vms() >= service.vmsInTouch() && sum.seenStep() >= last.number();
	}

	private boolean mayRise(RolloutPhase phase, long stepAtMs, RolloutReport sum, ServiceState service, long nowMs) {
		if (service.updatedEndpoints() == 0 || sum.vms() < service.vmsInTouch()
				|| VersionEvidence.isSuspect(sum.routes().values())) {
			return false;
		}
		long ageMs = nowMs - this.orderedAtMs;
		return switch (phase) {
			case WAITING -> ageMs >= Math.min(MIN_RATE_TIME_MS, this.order.durationMs() * RATE_TIME);
			case CANARY -> ageMs >= this.order.durationMs() * CANARY_TIME && hasEvidence(sum, nowMs);
			case OBSERVATION -> ageMs >= fullAtMs() - rampMs() && hasEvidence(sum, nowMs) && hasBudget(sum, nowMs);
			case RAMP -> nowMs - stepAtMs >= rampMs() && ageMs >= fullAtMs();
			case FULL -> false;
		};
	}

	private double rampMs() {
		return Math.min(RAMP_MS, this.order.durationMs() * RAMP_TIME);
	}

	// The age of the order at which all requests go to the new version, in milliseconds.
	private long fullAtMs() {
		double fullMs = Math.max(MIN_FULL_MS, Math.min(MAX_FULL_MS, this.order.durationMs() * FULL_TIME));
		return Math.round(Math.max(this.order.durationMs() / 2.0, this.order.durationMs() - fullMs));
	}

	// A service with little traffic can't give as many answers.
	private boolean hasEvidence(RolloutReport sum, long nowMs) {
		long answered = sum.routes().values().stream().mapToLong((counts) -> counts.updated().answered()).sum();
		double canaryShare = RolloutPhase.CANARY.share(this.limits, expectedRequests(sum, nowMs));
		return answered >= Math.min(MIN_ANSWERS, sum.requests() * canaryShare / 2);
	}

	// Whether the bound holds if a fault shows only in the next phase.
	private boolean hasBudget(RolloutReport sum, long nowMs) {
		double inRamp = requestsPerMs(sum, nowMs) * rampMs();
		double share = RolloutPhase.RAMP.share(this.limits, expectedRequests(sum, nowMs));
		double allowed = this.limits.exposureShare() * (sum.requests() + inRamp) + this.limits.exposureSlack();
		return sum.updatedRequests() + share * inRamp <= SAFE_PART * allowed;
	}

	private double expectedRequests(RolloutReport sum, long nowMs) {
		return requestsPerMs(sum, nowMs) * this.order.durationMs();
	}

	private double requestsPerMs(RolloutReport sum, long nowMs) {
		return sum.requests() / (double) Math.max(MIN_RATE_TIME_MS, nowMs - this.orderedAtMs);
	}

	/**
	 * What is known of a service.
	 *
	 * @param vmsInTouch the number of VMs that are alive and reachable
	 * @param updatedEndpoints the available endpoints of the new version
	 */
	public record ServiceState(int vmsInTouch, int updatedEndpoints) {
	}

	/**
	 * A decision.
	 *
	 * @param step the step that holds from now on
	 * @param reason the reason, for the log
	 */
	public record Decision(RolloutStep step, String reason) {
	}

}
