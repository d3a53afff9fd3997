package org.fulmargap.entry.rollout;

import java.util.HashMap;
import java.util.Map;

import org.fulmargap.entry.EntryMetrics;
import org.fulmargap.entry.EventLog;
import org.fulmargap.placement.Endpoint;
import org.fulmargap.placement.EndpointDirectory;
import org.fulmargap.rollout.AnswerCounts;
import org.fulmargap.rollout.RecentAnswers;
import org.fulmargap.rollout.RolloutDecision;
import org.fulmargap.rollout.RolloutLimits;
import org.fulmargap.rollout.RolloutOrder;
import org.fulmargap.rollout.RolloutPhase;
import org.fulmargap.rollout.RolloutProgress;
import org.fulmargap.rollout.RolloutReport;
import org.fulmargap.rollout.RolloutState;
import org.fulmargap.rollout.RolloutStep;
import org.fulmargap.rollout.RouteCounts;
import org.fulmargap.rollout.VersionSplit;

/**
 * One order of an operator as this VM follows it, and as it coordinates it while it is
 * the coordinator of the service. Confined to the event loop.
 */
final class ServiceRollout {

	/** How long the report of a peer is valid, in milliseconds: a few heartbeats. */
	private static final long REPORT_LIFETIME_MS = 1_500;

	/** The pause before a call to the store is repeated, in milliseconds. */
	private static final long RETRY_DELAY_MS = 500;

	/**
	 * The interval at which a coordinator reads whether another one ended the rollout.
	 */
	private static final long CHECK_INTERVAL_MS = 1_000;

	/**
	 * How long requests are refused after a start for a rollout that may have ended, in
	 * milliseconds, while the store does not answer.
	 */
	private static final long MAX_UNKNOWN_MS = 1_000;

	private final EndpointDirectory directory;

	private final RolloutStore store;

	private final EntryMetrics metrics;

	private final RolloutLimits limits;

	private final VersionSplit split;

	private final Map<String, PeerReport> reports = new HashMap<>();

	private final RecentAnswers recentAnswers = new RecentAnswers();

	private long orderedAtMs;

	private boolean coordinating;

	// Whether the store has the state that this coordinator decided on.
	private boolean stored;

	private boolean calling;

	// Whether this VM has started lately and not read yet if the rollout has ended.
	private boolean awaitsProgress;

	// Whether the store may have the state COMPLETE without this coordinator knowing it.
	private boolean mayBeComplete;

	private final long receivedAtMs;

	private long nextCheckAtMs;

	// Whether the order was removed or replaced before the rollout ended.
	private boolean withdrawn;

	// Whether this coordinator has tried to read what an earlier one wrote.
	private boolean tried;

	private long nextCallAtMs;

	// How often the store came back from an older copy.
	private int restoredCopies;

	private RolloutStep step;

	private long stepAtMs;

	ServiceRollout(RolloutOrder order, RolloutLimits limits, double ownSlack, EndpointDirectory directory,
			RolloutStore store, EntryMetrics metrics, long nowMs) {
		this.directory = directory;
		this.limits = limits;
		this.store = store;
		this.metrics = metrics;
		this.split = new VersionSplit(order, limits, ownSlack);
		this.step = this.split.step();
		this.orderedAtMs = nowMs;
		this.receivedAtMs = nowMs;
	}

	VersionSplit split() {
		return this.split;
	}

	private String service() {
		return this.split.order().service();
	}

	/**
	 * Reads what the store has of the rollout when this VM starts in the middle of it.
	 * Until it is known, this VM doesn't coordinate the rollout.
	 * @param nowMs the current time in milliseconds
	 */
	void readProgress(long nowMs) {
		this.awaitsProgress = true;
		read(nowMs);
	}

	/**
	 * Completes the rollout to a version that has served alone before the order.
	 * @param nowMs the current time in milliseconds
	 */
	void alreadyInForce(long nowMs) {
		follow(this.split.step().end(RolloutState.COMPLETE), "already_in_force", nowMs);
	}

	/**
	 * Returns whether this VM doesn't know yet if the rollout ended before it started.
	 * @param nowMs the current time in milliseconds
	 * @return {@code true} until the store has answered, for a short time at most
	 */
	boolean isUnknown(long nowMs) {
		return this.awaitsProgress && nowMs - this.receivedAtMs < MAX_UNKNOWN_MS
				&& !this.split.step().state().isFinal();
	}

	private void read(long nowMs) {
		if (this.calling || nowMs < this.nextCallAtMs) {
			return;
		}
		this.calling = true;
		this.store.read(service(), (result) -> {
			this.calling = false;
			this.nextCallAtMs = nowMs + RETRY_DELAY_MS;
			this.awaitsProgress = this.awaitsProgress && !result.known();
			result.progress().ifPresent((progress) -> adopt(progress, nowMs));
		});
	}

	private void adopt(RolloutProgress progress, long nowMs) {
		RolloutOrder order = this.split.order();
		if (!progress.isOf(order)) {
			return;
		}
		long ageMs = System.currentTimeMillis() - progress.orderedAtEpochMs();
		this.orderedAtMs = nowMs - Math.max(nowMs - this.orderedAtMs, Math.min(order.durationMs(), ageMs));
		if (progress.state().isFinal() && !this.split.step().state().isFinal()) {
			follow(this.split.step().end(progress.state()), "stored", nowMs);
		}
	}

	/**
	 * Takes in what a peer tells of the rollout.
	 * @param peer the name of the peer
	 * @param report what the VMs that it reports for have seen; {@code null} if nothing
	 * @param allowed the step that it relays; {@code null} if none
	 * @param nowMs the current time in milliseconds
	 */
	void reported(String peer, RolloutReport report, RolloutStep allowed, long nowMs) {
		if (report != null && report.orderId() == this.split.order().id()) {
			this.reports.put(peer, new PeerReport(report, nowMs));
		}
		else {
			this.reports.remove(peer);
		}
		if (allowed != null) {
			follow(allowed, "coordinator", nowMs);
		}
	}

	private void follow(RolloutStep newest, String reason, long nowMs) {
		RolloutStep previous = this.split.step();
		this.split.follow(newest, nowMs);
		RolloutStep current = this.split.step();
		if (!current.equals(previous)) {
			this.step = RolloutStep.newest(this.step, current);
			log(current, reason);
		}
	}

	private void log(RolloutStep current, String reason) {
		RolloutReport sum = sum(this.stepAtMs);
		AnswerCounts old = AnswerCounts.NONE;
		AnswerCounts updated = AnswerCounts.NONE;
		for (RouteCounts counts : sum.routes().values()) {
			old = old.plus(counts.old());
			updated = updated.plus(counts.updated());
		}
		EventLog.state((current.state().isFinal()) ? "rollout_state" : "rollout_step")
			.with("service", service())
			.with("order", current.orderId())
			.with("to", this.split.order().toVersion())
			.with("state", current.state())
			.with("phase", current.phase())
			.with("step", current.number())
			.with("share", current.share())
			.with("reason", reason)
			.with("requests", sum.requests())
			.with("updated_requests", sum.updatedRequests())
			.with("old_answers", old.answered())
			.with("old_bad", old.bad())
			.with("updated_answers", updated.answered())
			.with("updated_bad", updated.bad())
			.with("routes", sum.routes().keySet().size())
			.write();
		String label = "{service=\"" + service() + "\"}";
		this.metrics.gauge("rollout_share_percent" + label, (int) Math.round(current.share() * 100));
		this.metrics.gauge("rollout_updated_answers" + label, (int) updated.answered());
		this.metrics.gauge("rollout_updated_bad" + label, (int) updated.bad());
		this.metrics.gauge("rollout_old_bad" + label, (int) old.bad());
	}

	/**
	 * Coordinates the rollout, if this VM is the coordinator of the service. Called with
	 * each heartbeat.
	 * @param isCoordinator whether it is
	 * @param service what is known of the service
	 * @param alreadyInForce whether the service has endpoints of the ordered version only
	 * @param nowMs the current time in milliseconds
	 */
	void update(boolean isCoordinator, RolloutDecision.ServiceState service, boolean alreadyInForce, long nowMs) {
		if (!isCoordinator || this.awaitsProgress) {
			this.coordinating = false;
			readIfAlone(nowMs);
			return;
		}
		if (!this.coordinating) {
			this.coordinating = true;
			this.stored = false;
			this.tried = false;
			this.step = (this.withdrawn && !this.split.step().state().isFinal())
					? this.split.step().end(RolloutState.REVERTED) : this.split.step();
			this.stepAtMs = nowMs;
		}
		synchronize(alreadyInForce, nowMs);
		// A completed rollout takes effect only once the store has it.
		boolean completing = this.calling && this.step.state() == RolloutState.COMPLETE;
		if (this.tried && !completing && !this.withdrawn && !isRevertPending()
				&& !this.split.step().state().isFinal()) {
			decide(service, nowMs);
		}
		follow(this.split.step(), "own", nowMs);
	}

	// The rollout may have ended without this VM hearing of it.
	private void readIfAlone(long nowMs) {
		boolean alone = nowMs - this.receivedAtMs >= VersionSplit.STEP_LIFETIME_MS && !this.split.hasLease(nowMs);
		if (!this.split.step().state().isFinal() && (alone || this.awaitsProgress || this.withdrawn)) {
			read(nowMs);
		}
	}

	private boolean isRevertPending() {
		return this.mayBeComplete && this.step.state() == RolloutState.REVERTED;
	}

	private void decide(RolloutDecision.ServiceState service, long nowMs) {
		RolloutStep last = this.split.step();
		RolloutDecision decision = new RolloutDecision(this.split.order(), this.limits, this.orderedAtMs);
		RolloutReport sum = sum(nowMs);
		RolloutDecision.Decision next = decision.next(last, this.stepAtMs, sum,
				this.recentAnswers.add(sum.routes(), nowMs), service, nowMs);
		if (next.step().equals(last)) {
			return;
		}
		this.step = next.step();
		this.stepAtMs = nowMs;
		if (next.step().state() == RolloutState.COMPLETE) {
			this.stored = false;
			this.nextCallAtMs = nowMs;
			return;
		}
		this.stored = this.stored && !next.step().state().isFinal();
		if (isRevertPending()) {
			// Old endpoints stop when the store says COMPLETE, so the store decides.
			this.nextCallAtMs = nowMs;
			follow(last.pause(), next.reason(), nowMs);
			return;
		}
		follow(next.step(), next.reason(), nowMs);
	}

	// Writes the state that the store lacks. Before the first write, the state that an
	// earlier coordinator wrote is read.
	private void synchronize(boolean alreadyInForce, long nowMs) {
		if (this.stored && !this.split.step().state().isFinal() && nowMs >= this.nextCheckAtMs) {
			this.nextCheckAtMs = nowMs + CHECK_INTERVAL_MS;
			read(nowMs);
			return;
		}
		if (this.stored || this.calling || nowMs < this.nextCallAtMs) {
			return;
		}
		this.calling = true;
		if (!this.tried) {
			this.store.read(service(), (result) -> coordinatorRead(result, alreadyInForce, nowMs));
			return;
		}
		long ageMs = nowMs - this.orderedAtMs;
		RolloutOrder order = this.split.order();
		RolloutProgress progress = new RolloutProgress(order.toVersion(), order.durationMs(), order.id(),
				System.currentTimeMillis() - ageMs, this.step.state());
		int copies = this.restoredCopies;
		this.store.write(service(), progress, (result) -> {
			written(progress, result, nowMs);
			// The store may have lost the write when it came back from an older copy.
			this.stored = this.stored && copies == this.restoredCopies;
		});
	}

	private void coordinatorRead(RolloutStore.Result result, boolean alreadyInForce, long nowMs) {
		this.calling = false;
		this.tried = true;
		// An earlier coordinator may have written it and not told of it.
		this.mayBeComplete = !result.known() && this.split.step().phase() == RolloutPhase.FULL;
		result.progress().ifPresent((progress) -> adopt(progress, nowMs));
		boolean isNew = result.known() && result.progress().filter((known) -> known.isOf(this.split.order())).isEmpty();
		if (isNew && alreadyInForce && !this.step.state().isFinal()) {
			this.step = this.step.end(RolloutState.COMPLETE);
		}
	}

	private void written(RolloutProgress progress, RolloutStore.Result result, long nowMs) {
		this.calling = false;
		this.nextCallAtMs = nowMs + RETRY_DELAY_MS;
		this.stored = result.known() && progress.state() == this.step.state();
		if (!result.known()) {
			boolean maybeWritten = progress.state() == RolloutState.COMPLETE && result.maybeWritten();
			this.mayBeComplete = this.mayBeComplete || maybeWritten;
			return;
		}
		result.progress().map(RolloutProgress::state).filter(RolloutState::isFinal).ifPresent((state) -> {
			this.mayBeComplete = false;
			if (!this.split.step().state().isFinal()) {
				follow(this.split.step().end(state), "stored", nowMs);
			}
		});
	}

	/**
	 * Replaces the id of the order, which its operator has written again.
	 * @param id the new id
	 */
	void renumber(long id) {
		this.split.renumber(id);
		this.step = new RolloutStep(id, this.step.number(), this.step.phase(), this.step.share(), this.step.state());
		storeRestored();
	}

	/**
	 * Writes the state again, because the store came back from an older copy.
	 */
	void storeRestored() {
		this.restoredCopies++;
		this.stored = false;
	}

	/**
	 * Reverts the rollout, because its order was removed or replaced.
	 * @param reason why, for the log
	 * @param nowMs the current time in milliseconds
	 */
	void withdraw(String reason, long nowMs) {
		if (this.split.step().state().isFinal()) {
			return;
		}
		this.stored = false;
		this.withdrawn = true;
		if (this.split.step().phase() == RolloutPhase.FULL) {
			// The store may have COMPLETE already, so it decides.
			this.mayBeComplete = true;
			follow(this.split.step().pause(), reason, nowMs);
			this.step = this.split.step().end(RolloutState.REVERTED);
			return;
		}
		follow(this.split.step().end(RolloutState.REVERTED), reason, nowMs);
		this.step = this.split.step();
	}

	/**
	 * Returns the step that this VM allows as coordinator.
	 * @return the step, or {@code null} if this VM is not the coordinator
	 */
	RolloutStep allowed() {
		return (this.coordinating) ? this.split.step() : null;
	}

	/**
	 * Returns what this VM has seen of the rollout.
	 * @param nowMs the current time in milliseconds
	 * @return the report
	 */
	RolloutReport report(long nowMs) {
		RolloutReport report = this.split.report(nowMs);
		// Those that were sent before the order count, too.
		int oldInFlight = this.directory.all()
			.stream()
			.filter((endpoint) -> endpoint.record().service().equals(service()) && !this.split.isUpdated(endpoint))
			.mapToInt(Endpoint::ownInFlight)
			.sum();
		return new RolloutReport(report.orderId(), report.requests(), report.updatedRequests(), report.routes(),
				Math.max(oldInFlight, report.oldInFlight()), report.seenStep(), report.vms());
	}

	private RolloutReport sum(long nowMs) {
		RolloutReport sum = report(nowMs);
		for (PeerReport peer : this.reports.values()) {
			if (nowMs - peer.receivedAtMs() < REPORT_LIFETIME_MS) {
				sum = sum.plus(peer.report());
			}
		}
		return sum;
	}

	private record PeerReport(RolloutReport report, long receivedAtMs) {
	}

}
