package org.fulmargap.ledger;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.fulmargap.config.ConfigEvent;
import org.fulmargap.config.ConfigLedger;
import org.fulmargap.config.ConfigRecord;
import org.fulmargap.config.ConfigState;
import org.fulmargap.config.Configuration;
import org.fulmargap.config.Member;
import org.fulmargap.config.OrderRegister;
import org.fulmargap.config.PatchDecision;
import org.fulmargap.config.PendingPatch;
import org.fulmargap.ledger.ConfigService.Decision;
import org.fulmargap.ledger.ConfigService.PatchRefusal;

/**
 * The configuration as known to one entry VM, and the records that it has to append.
 * Every method holds the lock of the instance. Actions that must run without it are
 * returned, and the caller runs them after the lock is released.
 */
final class ConfigTable {

	/**
	 * The lag in milliseconds behind the version of a peer that is tolerated. A peer can
	 * be ahead for up to one poll interval after each commit; a longer lag means that
	 * this entry VM has missed a version.
	 */

	private static final long TOLERATED_LAG_MS = 1_000;

	private final ServiceIdentity identity;

	private final ConfigSettings settings;

	private final PlatformEvents events;

	private final ConfigLedger ledger = new ConfigLedger();

	private final Map<String, PatchProposal> proposals = new HashMap<>();

	private final Set<ConfigRecord> requested = new LinkedHashSet<>();

	private boolean leaving;

	private boolean reachedEnd;

	private String pendingPatchId = "";

	private long pendingSinceMs;

	private long snapshotDueSinceMs = -1;

	private long highestPeerVersion;

	private long behindSinceMs = -1;

	private long lastRemovalAtMs = Long.MIN_VALUE;

	private long publishedVersion;

	ConfigTable(ServiceIdentity identity, ConfigSettings settings, PlatformEvents events) {
		this.identity = identity;
		this.settings = settings;
		this.events = events;
	}

	synchronized long nextOffset() {
		return this.ledger.nextOffset();
	}

	synchronized void read(LogPage page, long nowMs) {
		this.ledger.observeBounds(page.firstOffset(), page.nextOffset()).forEach((event) -> recordEvent(event, nowMs));
		for (LogPage.Entry entry : page.records()) {
			this.ledger.apply(entry.offset(), entry.appendedAtMs(), entry.value())
				.forEach((event) -> recordEvent(event, nowMs));
		}
	}

	synchronized DeferredActions reachedEnd(long nowMs) {
		this.reachedEnd = true;
		return completeProposals(nowMs);
	}

	// Completes the proposals that are decided or timed out.
	synchronized DeferredActions completeProposals(long nowMs) {
		DeferredActions deferred = new DeferredActions();
		ConfigState state = this.ledger.state();
		String pending = state.pending().map(PendingPatch::patchId).orElse("");
		if (!pending.equals(this.pendingPatchId)) {
			this.pendingPatchId = pending;
			this.pendingSinceMs = nowMs;
		}
		for (PatchProposal proposal : List.copyOf(this.proposals.values())) {
			Optional<PatchDecision> decided = state.decision(proposal.record.patchId());
			// The same patch may have been proposed through another entry VM.
			proposal.sent |= isPending(proposal);
			long ageMs = nowMs - proposal.record.proposedAtMs();
			if (decided.isPresent()) {
				finish(proposal, decision(decided.get()), deferred);
			}
			else if (!proposal.sent && ageMs > this.settings.patchTimeoutMs()) {
				finish(proposal, refusal(PatchRefusal.LOG_UNAVAILABLE, "the log does not answer; nothing was proposed"),
						deferred);
			}
			else if (ageMs > 3 * this.settings.patchTimeoutMs()) {
				finish(proposal, refusal(PatchRefusal.DECISION_UNKNOWN, "the log stopped answering"), deferred);
			}
		}
		checkVersion(state.version());
		return deferred;
	}

	synchronized DeferredActions propose(PatchProposal proposal, boolean logResponsive) {
		DeferredActions deferred = new DeferredActions();
		String patchId = proposal.record.patchId();
		Optional<PatchDecision> decided = this.ledger.state().decision(patchId);
		PatchProposal running = this.proposals.get(patchId);
		if (decided.isPresent()) {
			deferred.complete(proposal.future, decision(decided.get()));
		}
		else if (running != null) {
			running.future.thenAccept(proposal.future::complete);
		}
		else if (!logResponsive || !this.ledger.isFollowing()) {
			deferred.complete(proposal.future,
					refusal(PatchRefusal.LOG_UNAVAILABLE, "the log does not answer; nothing was proposed"));
		}
		else {
			this.proposals.put(patchId, proposal);
		}
		return deferred;
	}

	synchronized void request(ConfigRecord record) {
		this.requested.add(record);
	}

	synchronized void leave() {
		this.leaving = true;
	}

	// Returns the record that this entry VM should append now.
	synchronized Optional<ConfigRecord> nextRecord(long nowMs) {
		if (!this.ledger.isFollowing() || !this.reachedEnd) {
			return Optional.empty();
		}
		ConfigState state = this.ledger.state();
		boolean member = state.isMember(this.identity.vm(), this.identity.incarnation());
		if (member == this.leaving) {
			return Optional.of(this.leaving ? new ConfigRecord.Leave(this.identity.vm(), this.identity.incarnation())
					: new ConfigRecord.Join(new Member(this.identity.vm(), this.identity.incarnation(),
							this.identity.failureDomain())));
		}
		this.requested.removeIf((record) -> isInForce(record, state));
		if (!this.requested.isEmpty()) {
			return Optional.of(this.requested.iterator().next());
		}
		Optional<ConfigRecord> patchRecord = state.pending().isPresent() ? pendingRecord(state.pending().get(), nowMs)
				: Optional.empty();
		return patchRecord.or(this::nextProposal).or(() -> snapshot(state, nowMs));
	}

	// Marks a proposal as sent before its append, because the log may store it and still
	// return an error. Returns false if the proposal is already completed and must not be
	// appended.
	synchronized boolean beginAppend(ConfigRecord record) {
		if (record instanceof ConfigRecord.Propose propose) {
			PatchProposal proposal = this.proposals.get(propose.patchId());
			if (proposal == null) {
				return false;
			}
			proposal.sent = true;
		}
		return true;
	}

	synchronized void markNotSent(ConfigRecord record) {
		if (record instanceof ConfigRecord.Propose propose) {
			Optional.ofNullable(this.proposals.get(propose.patchId())).ifPresent((proposal) -> proposal.sent = false);
		}
	}

	synchronized void markAppended(ConfigRecord record) {
		this.requested.remove(record);
	}

	synchronized boolean install(ConfigRecord.Snapshot snapshot, long nowMs) {
		boolean installed = this.ledger.install(snapshot);
		if (installed) {
			this.lastRemovalAtMs = nowMs;
		}
		return installed;
	}

	synchronized Optional<ConfigRecord.Snapshot> export() {
		return this.ledger.export();
	}

	synchronized ConfigState state() {
		return this.ledger.state();
	}

	synchronized long lastRemovalAtMs() {
		return this.lastRemovalAtMs;
	}

	synchronized void recordPeerVersion(long version) {
		this.highestPeerVersion = Math.max(this.highestPeerVersion, version);
	}

	synchronized ConfigService.View view(long nowMs, boolean inDoubt) {
		long version = this.ledger.state().version();
		if (version >= this.highestPeerVersion) {
			this.behindSinceMs = -1;
		}
		else if (this.behindSinceMs < 0) {
			this.behindSinceMs = nowMs;
		}
		boolean behind = this.behindSinceMs >= 0 && (!this.reachedEnd || nowMs - this.behindSinceMs > TOLERATED_LAG_MS);
		Optional<Configuration> pending = inDoubt ? this.ledger.pendingConfiguration() : Optional.empty();
		return new ConfigService.View(version, this.ledger.configuration(), pending, this.ledger.hasState() && !behind);
	}

	private Optional<ConfigRecord> pendingRecord(PendingPatch pending, long nowMs) {
		if (pending.needsAckFrom(this.identity.vm(), this.identity.incarnation())) {
			return Optional
				.of(new ConfigRecord.Ack(pending.patchId(), this.identity.vm(), this.identity.incarnation()));
		}
		PatchProposal own = this.proposals.get(pending.patchId());
		if (own != null && pending.missingAcks().isEmpty()) {
			return Optional.of(new ConfigRecord.Commit(pending.patchId()));
		}
		if (own != null && nowMs - own.record.proposedAtMs() > this.settings.patchTimeoutMs()) {
			return Optional.of(new ConfigRecord.Abort(pending.patchId(), "time-out of the proposer"));
		}
		if (nowMs - this.pendingSinceMs > 2 * this.settings.patchTimeoutMs()) {
			return Optional.of(new ConfigRecord.Abort(pending.patchId(), "the proposer is silent"));
		}
		return Optional.empty();
	}

	private Optional<ConfigRecord> nextProposal() {
		for (PatchProposal proposal : this.proposals.values()) {
			if (!isPending(proposal)) {
				return Optional.of(proposal.record);
			}
		}
		return Optional.empty();
	}

	private Optional<ConfigRecord> snapshot(ConfigState state, long nowMs) {
		if (!this.ledger.needsSnapshot(nowMs, this.settings.snapshotEveryMs(), this.settings.snapshotRecords())) {
			this.snapshotDueSinceMs = -1;
			return Optional.empty();
		}
		if (this.snapshotDueSinceMs < 0) {
			this.snapshotDueSinceMs = nowMs;
		}
		int rank = new ArrayList<>(state.members().keySet()).indexOf(this.identity.vm());
		// Members of a higher rank wait longer, so that usually only one appends.
		long jitterMs = Math.floorMod(this.identity.incarnation().hashCode() + this.ledger.nextOffset(), 100);
		if (nowMs - this.snapshotDueSinceMs < rank * this.settings.snapshotRankMs() + jitterMs) {
			return Optional.empty();
		}
		return this.ledger.export().map(ConfigRecord.class::cast);
	}

	private boolean isPending(PatchProposal proposal) {
		return proposal.record.patchId().equals(this.pendingPatchId);
	}

	private boolean isInForce(ConfigRecord record, ConfigState state) {
		if (record instanceof ConfigRecord.Order order) {
			OrderRegister current = state.orders().get(order.order().target());
			return current != null && current.merge(order.order()).equals(current);
		}
		return record instanceof ConfigRecord.Evict evict && !state.isMember(evict.vm(), evict.incarnation());
	}

	private void finish(PatchProposal proposal, Decision decision, DeferredActions deferred) {
		this.proposals.remove(proposal.record.patchId());
		deferred.complete(proposal.future, decision);
	}

	private Decision decision(PatchDecision decided) {
		return new Decision(decided.accepted(), decided.version(),
				Optional.ofNullable(decided.rejection()).map((rejection) -> PatchRefusal.valueOf(rejection.name())),
				decided.message());
	}

	private Decision refusal(PatchRefusal refusal, String message) {
		return new Decision(false, this.ledger.state().version(), Optional.of(refusal), message);
	}

	private void checkVersion(long version) {
		if (version < this.publishedVersion) {
			this.events.recordViolation("config", "VERSION_REVERTED", this.publishedVersion + " to " + version);
		}
		this.publishedVersion = Math.max(version, this.publishedVersion);
	}

	private void recordEvent(ConfigEvent event, long nowMs) {
		if (event.type() == ConfigEvent.Type.REMOVED || event.type() == ConfigEvent.Type.JOINED
				|| event.type() == ConfigEvent.Type.SNAPSHOT_INSTALLED) {
			this.lastRemovalAtMs = nowMs;
		}
		this.events.recordEvent("config", event.type(), event.type().isViolation(), event.type().isRoutine(),
				"offset " + event.offset() + ": " + event.detail());
	}

	synchronized boolean isMember() {
		return this.ledger.state().isMember(this.identity.vm(), this.identity.incarnation());
	}

}
