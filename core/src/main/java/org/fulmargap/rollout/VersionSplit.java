package org.fulmargap.rollout;

import java.util.Comparator;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import org.fulmargap.placement.Endpoint;

/**
 * Divides the requests of one VM between the two software versions of a rollout, and
 * counts what both do. Confined to one thread.
 * <p>
 * As long as the share is within the exposure share, this VM also keeps its own part of
 * the exposure bound, so that the sum over all VMs keeps it even if they don't hear each
 * other.
 */
public final class VersionSplit {

	/**
	 * How long a step is valid after it was received, in milliseconds: a few heartbeats.
	 */
	public static final long STEP_LIFETIME_MS = 1_500;

	/** The part of its own exposure bound that this VM uses. */
	private static final double SAFE_PART = 0.8;

	/** How long the same endpoints get a concentrated share, in milliseconds. */
	private static final long TURN_MS = 2_000;

	private static final double MAX_CONCENTRATED_SHARE = 0.5;

	/** The answers of old endpoints after which their usual time is known. */
	private static final int MIN_USUAL_ANSWERS = 10;

	/** An answer is slow if it takes this many times the usual time of its route. */
	private static final double SLOW_FACTOR = 2.5;

	/** The weight of the newest answer in the moving average of a route's time. */
	private static final double USUAL_WEIGHT = 0.1;

	private final RolloutLimits limits;

	private final double ownSlack;

	private final Map<String, RouteCounts> routes = new HashMap<>();

	private final Map<String, UsualTime> usualTimes = new HashMap<>();

	private final Map<Object, RunningCall> running = new IdentityHashMap<>();

	private RolloutOrder order;

	private RolloutStep step;

	private long stepReceivedAtMs = Long.MIN_VALUE / 2;

	private long phaseSinceMs;

	private long requests;

	private long updatedRequests;

	private int oldInFlight;

	/**
	 * Creates a split in which the new version gets nothing.
	 * @param order the order
	 * @param limits the bounds of what a bad version may get
	 * @param ownSlack this VM's part of the slack, in requests; 0 if it can't know what
	 * was used up before
	 */
	public VersionSplit(RolloutOrder order, RolloutLimits limits, double ownSlack) {
		this.order = order;
		this.limits = limits;
		this.ownSlack = ownSlack;
		this.step = RolloutStep.first(order.id());
	}

	/**
	 * Returns the order.
	 * @return the order
	 */
	public RolloutOrder order() {
		return this.order;
	}

	/**
	 * Replaces the id of the order, which its operator has written again. The state and
	 * the counts stay.
	 * @param id the new id
	 */
	public void renumber(long id) {
		this.order = new RolloutOrder(this.order.service(), this.order.toVersion(), this.order.durationMs(), id);
		this.step = new RolloutStep(id, this.step.number(), this.step.phase(), this.step.share(), this.step.state());
	}

	/**
	 * Returns whether the old versions get no requests any more.
	 * @return {@code true} if the rollout is complete
	 */
	public boolean isComplete() {
		return this.step.state() == RolloutState.COMPLETE;
	}

	/**
	 * Returns the step that this VM follows, which may have expired.
	 * @return the step
	 */
	public RolloutStep step() {
		return this.step;
	}

	/**
	 * Follows a step of the coordinator. Steps of other orders and earlier ones are
	 * ignored, and a final state is never left. Of two steps with the same number, the
	 * one with the lower share holds.
	 * @param newest the step
	 * @param nowMs the current time in milliseconds
	 */
	public void follow(RolloutStep newest, long nowMs) {
		boolean ignored = newest.orderId() != this.order.id() || this.step.state().isFinal()
				|| newest.number() < this.step.number();
		if (ignored) {
			return;
		}
		boolean isRepeat = newest.number() == this.step.number() && newest.share() >= this.step.share()
				&& !newest.state().isFinal();
		if (newest.phase() != this.step.phase()) {
			this.phaseSinceMs = nowMs;
		}
		this.step = (isRepeat) ? this.step : newest;
		this.stepReceivedAtMs = nowMs;
	}

	/**
	 * Returns whether a request should go to the new version.
	 * @param attemptId the id of the caller's attempt
	 * @param nowMs the current time in milliseconds
	 * @return {@code true} if it should
	 */
	public boolean sendsToUpdated(String attemptId, long nowMs) {
		return switch (this.step.state()) {
			case COMPLETE -> true;
			case REVERTED -> false;
			case IN_PROGRESS -> fraction(identity(attemptId)) < share(nowMs) && isWithinOwnBound();
		};
	}

	// Requests without an id must not all go to the same version.
	private String identity(String attemptId) {
		return (attemptId.isEmpty()) ? "request-" + this.requests : attemptId;
	}

	/**
	 * Returns the share of the requests that may go to the new version.
	 * @param nowMs the current time in milliseconds
	 * @return the share, from 0 to 1
	 */
	public double share(long nowMs) {
		if (this.step.state().isFinal()) {
			return this.step.share();
		}
		return (hasLease(nowMs)) ? this.step.share() : 0;
	}

	/**
	 * Returns whether the step that this VM follows was confirmed lately.
	 * @param nowMs the current time in milliseconds
	 * @return {@code false} if no coordinator is heard of
	 */
	public boolean hasLease(long nowMs) {
		return nowMs - this.stepReceivedAtMs < STEP_LIFETIME_MS;
	}

	/**
	 * Returns whether a request that has been assigned to a version still goes there.
	 * Asked when it is sent, because many may be assigned before the first of them counts
	 * in the exposure.
	 * @param toUpdated whether it was assigned to the new version
	 * @param nowMs the current time in milliseconds
	 * @return whether it goes to the new version now
	 */
	public boolean stillToUpdated(boolean toUpdated, long nowMs) {
		double share = share(nowMs);
		return share >= 1 || (toUpdated && share > 0 && isWithinOwnBound());
	}

	/**
	 * Returns whether an endpoint may go on with a stream that its version began.
	 * @param endpoint the endpoint
	 * @param nowMs the current time in milliseconds
	 * @return {@code false} if its version may get no requests now
	 */
	public boolean mayContinueAt(Endpoint endpoint, long nowMs) {
		return (isUpdated(endpoint)) ? share(nowMs) > 0 : this.step.state() != RolloutState.COMPLETE;
	}

	private boolean isWithinOwnBound() {
		if (!this.step.phase().isBounded()) {
			return true;
		}
		double allowed = SAFE_PART * (this.limits.exposureShare() * (this.requests + 1) + this.ownSlack);
		return this.updatedRequests + 1 <= allowed;
	}

	private static double fraction(String attemptId) {
		int hash = attemptId.hashCode() * 0x9E3779B9;
		hash ^= hash >>> 15;
		hash *= 0x85EBCA6B;
		hash ^= hash >>> 13;
		return (hash >>> 8) / (double) (1 << 24);
	}

	/**
	 * Returns the endpoints to which a request may be sent.
	 * @param available the available endpoints of the service
	 * @param toUpdated whether the request should go to the new version
	 * @param nowMs the current time in milliseconds
	 * @return the endpoints; those of the other versions if there are none of the new one
	 * and these may still be used
	 */
	public List<Endpoint> candidates(List<Endpoint> available, boolean toUpdated, long nowMs) {
		List<Endpoint> old = available.stream().filter((endpoint) -> !isUpdated(endpoint)).toList();
		if (!toUpdated) {
			return old;
		}
		List<Endpoint> updated = available.stream().filter(this::isUpdated).toList();
		if (updated.isEmpty()) {
			return (this.step.state() == RolloutState.COMPLETE) ? List.of() : old;
		}
		return (this.step.phase().isConcentrated()) ? concentrated(updated, old.size(), nowMs) : updated;
	}

	/**
	 * Returns whether an endpoint has the version of the order.
	 * @param endpoint the endpoint
	 * @return {@code true} if it has
	 */
	public boolean isUpdated(Endpoint endpoint) {
		return endpoint.record().softwareVersion().equals(this.order.toVersion());
	}

	// As many of the new endpoints as carry the load of as many old ones at this share.
	// They take turns, so that a single slow machine isn't taken for a slow version.
	private List<Endpoint> concentrated(List<Endpoint> updated, int oldCount, long nowMs) {
		double share = Math.min(this.step.share(), MAX_CONCENTRATED_SHARE);
		int count = Math.max(1, (int) (share / (1 - share) * oldCount));
		List<Endpoint> usable = updated.stream()
			.filter((endpoint) -> !endpoint.isCold(nowMs) && !endpoint.isSuspended(nowMs))
			.sorted(Comparator.comparingDouble((endpoint) -> fraction(this.order.id() + endpoint.record().id())))
			.toList();
		if (usable.size() <= count) {
			return (usable.isEmpty()) ? updated : usable;
		}
		long turn = (nowMs - this.phaseSinceMs) / TURN_MS;
		int first = (int) (turn * count % usable.size());
		return Stream.concat(usable.stream(), usable.stream()).skip(first).limit(count).toList();
	}

	/**
	 * Records that a request is sent to an endpoint.
	 * @param updated whether the endpoint has the version of the order
	 */
	public void sent(boolean updated) {
		this.requests++;
		if (updated) {
			this.updatedRequests++;
		}
		else {
			this.oldInFlight++;
		}
	}

	/**
	 * Records that a call runs, which counts as slow before its answer is there.
	 * @param call the call
	 * @param route the route or stage
	 * @param endpoint the endpoint
	 * @param timeScale what its time is multiplied by before it is compared
	 * @param nowMs the current time in milliseconds
	 */
	public void running(Object call, String route, Endpoint endpoint, double timeScale, long nowMs) {
		this.running.put(call, new RunningCall(route, endpoint, isUpdated(endpoint), timeScale, nowMs));
	}

	/**
	 * Records that a call has ended, whatever its outcome.
	 * @param call the call
	 * @param updated whether the endpoint had the version of the order
	 */
	public void ended(Object call, boolean updated) {
		this.running.remove(call);
		if (!updated) {
			this.oldInFlight = Math.max(0, this.oldInFlight - 1);
		}
	}

	/**
	 * Records that a call was given up before its answer, for example at the deadline of
	 * its request.
	 * @param call the call, which has not ended yet
	 * @param nowMs the current time in milliseconds
	 */
	public void givenUp(Object call, long nowMs) {
		RunningCall known = this.running.get(call);
		if (known != null && isOverdue(known, nowMs)) {
			add(known.route(), known.slowAnswer());
		}
	}

	private boolean isOverdue(RunningCall call, long nowMs) {
		UsualTime usual = this.usualTimes.get(call.route());
		return usual != null && usual.isExceeded((nowMs - call.sentAtMs()) * call.timeScale())
				&& !call.endpoint().isCold(nowMs) && !call.endpoint().isNew(nowMs);
	}

	/**
	 * Records the answer of an endpoint.
	 * @param route the route or stage
	 * @param endpoint the endpoint
	 * @param failed whether it is a failure that is the endpoint's fault
	 * @param measuredMs how long it took, in milliseconds
	 * @param nowMs the current time in milliseconds
	 */
	public void answered(String route, Endpoint endpoint, boolean failed, double measuredMs, long nowMs) {
		UsualTime usual = this.usualTimes.computeIfAbsent(route, (name) -> new UsualTime());
		// Endpoints are slow for a while after their start, whatever their version.
		boolean slow = !failed && usual.isExceeded(measuredMs) && !endpoint.isCold(nowMs) && !endpoint.isNew(nowMs);
		AnswerOutcome outcome = (failed) ? AnswerOutcome.FAILED : (slow) ? AnswerOutcome.SLOW : AnswerOutcome.GOOD;
		if (isUpdated(endpoint)) {
			add(route, new RouteCounts(AnswerCounts.NONE, Map.of(endpoint.record().id(), outcome.counts())));
			return;
		}
		add(route, new RouteCounts(outcome.counts(), Map.of()));
		if (!failed) {
			usual.add(measuredMs);
		}
	}

	private void add(String route, RouteCounts counts) {
		this.routes.merge(route, counts, RouteCounts::plus);
	}

	/**
	 * Returns what this VM has seen since the order. Calls of either version that take
	 * much longer than usual count as slow answers while they run.
	 * @param nowMs the current time in milliseconds
	 * @return the report
	 */
	public RolloutReport report(long nowMs) {
		Map<String, RouteCounts> counts = new HashMap<>(this.routes);
		for (RunningCall call : this.running.values()) {
			if (isOverdue(call, nowMs)) {
				counts.merge(call.route(), call.slowAnswer(), RouteCounts::plus);
			}
		}
		return new RolloutReport(this.order.id(), this.requests, this.updatedRequests, counts, this.oldInFlight,
				this.step.number(), 1);
	}

	private record RunningCall(String route, Endpoint endpoint, boolean updated, double timeScale, long sentAtMs) {

		private RouteCounts slowAnswer() {
			AnswerCounts slow = AnswerOutcome.SLOW.counts();
			return (this.updated) ? new RouteCounts(AnswerCounts.NONE, Map.of(this.endpoint.record().id(), slow))
					: new RouteCounts(slow, Map.of());
		}

	}

	/**
	 * How long answers of old endpoints take on a route.
	 */
	private static final class UsualTime {

		private double averageMs;

		private int answers;

		private void add(double measuredMs) {
			this.answers++;
			double weight = Math.max(USUAL_WEIGHT, 1.0 / this.answers);
			this.averageMs += weight * (measuredMs - this.averageMs);
		}

		private boolean isExceeded(double measuredMs) {
			return this.answers >= MIN_USUAL_ANSWERS && measuredMs > this.averageMs * SLOW_FACTOR;
		}

	}

}
