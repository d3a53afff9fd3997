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
 * The configuration as one entry VM knows it, and what it still has to append. Every
 * method takes the lock of the instance; effects outside of it are returned.
 */
final class ConfigTable {

	/**
	 * A peer is ahead for up to a poll interval after every commit. Only a longer lag
	 * means that this entry VM misses a version.
	 */

	private static final long TOLERATED_LAG_MS = 1_000;

	private final ServiceIdentity identity;

	private final ConfigSettings settings;

	private final PlatformEvents events;

	private final ConfigLedger ledger = new ConfigLedger();

	private final Map<String, PatchProposal> proposals = new HashMap<>();

	private final Set<ConfigRecord> wanted = new LinkedHashSet<>();

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
		this.ledger.observeBounds(page.firstOffset(), page.nextOffset()).forEach((event) -> note(event, nowMs));
		for (LogPage.Entry entry : page.records()) {
			this.ledger.apply(entry.offset(), entry.appendedAtMs(), entry.value())
				.forEach((event) -> note(event, nowMs));
		}
	}

	synchronized DeferredActions reachedEnd(long nowMs) {
		this.reachedEnd = true;
		return settle(nowMs);
	}

	// Completes proposals that are decided or out of time.
	synchronized DeferredActions settle(long nowMs) {
		DeferredActions effects = new DeferredActions();
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
				finish(proposal, decision(decided.get()), effects);
			}
			else if (!proposal.sent && ageMs > this.settings.patchTimeoutMs()) {
				finish(proposal, refusal(PatchRefusal.LOG_UNAVAILABLE, "the log does not answer; nothing was proposed"),
						effects);
			}
			else if (ageMs > 3 * this.settings.patchTimeoutMs()) {
				finish(proposal, refusal(PatchRefusal.DECISION_UNKNOWN, "the log stopped answering"), effects);
			}
		}
		checkVersion(state.version());
		return effects;
	}

	synchronized DeferredActions propose(PatchProposal proposal, boolean logAnswers) {
		DeferredActions effects = new DeferredActions();
		String patchId = proposal.record.patchId();
		Optional<PatchDecision> decided = this.ledger.state().decision(patchId);
		PatchProposal running = this.proposals.get(patchId);
		if (decided.isPresent()) {
			effects.complete(proposal.future, decision(decided.get()));
		}
		else if (running != null) {
			running.future.thenAccept(proposal.future::complete);
		}
		else if (!logAnswers || !this.ledger.isFollowing()) {
			effects.complete(proposal.future,
					refusal(PatchRefusal.LOG_UNAVAILABLE, "the log does not answer; nothing was proposed"));
		}
		else {
			this.proposals.put(patchId, proposal);
		}
		return effects;
	}

	synchronized void want(ConfigRecord record) {
		this.wanted.add(record);
	}

	synchronized void leave() {
		this.leaving = true;
	}

	// Chooses the record that this entry VM should append now.
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
		this.wanted.removeIf((record) -> isInForce(record, state));
		if (!this.wanted.isEmpty()) {
			return Optional.of(this.wanted.iterator().next());
		}
		Optional<ConfigRecord> patchRecord = state.pending().isPresent() ? pendingRecord(state.pending().get(), nowMs)
				: Optional.empty();
		return patchRecord.or(this::nextProposal).or(() -> snapshot(state, nowMs));
	}

	// Marks a record as handed to the log, which may store it even if it answers with an
	// error.
	// @param record the record
	// @return whether the record may still be sent
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

	synchronized void notSent(ConfigRecord record) {
		if (record instanceof ConfigRecord.Propose propose) {
			Optional.ofNullable(this.proposals.get(propose.patchId())).ifPresent((proposal) -> proposal.sent = false);
		}
	}

	synchronized void appended(ConfigRecord record) {
		this.wanted.remove(record);
	}

	synchronized boolean install(ConfigRecord.Snapshot copy, long nowMs) {
		boolean installed = this.ledger.install(copy);
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

	synchronized void notePeerVersion(long version) {
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
		// Members of a higher rank wait longer, so that usually one snapshot is appended.
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
			OrderRegister present = state.orders().get(order.order().target());
			return present != null && present.merge(order.order()).equals(present);
		}
		return record instanceof ConfigRecord.Evict evict && !state.isMember(evict.vm(), evict.incarnation());
	}

	private void finish(PatchProposal proposal, Decision decision, DeferredActions effects) {
		this.proposals.remove(proposal.record.patchId());
		effects.complete(proposal.future, decision);
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
			this.events.violation("config", "VERSION_REVERTED", this.publishedVersion + " to " + version);
		}
		this.publishedVersion = Math.max(version, this.publishedVersion);
	}

	private void note(ConfigEvent event, long nowMs) {
		if (event.type() == ConfigEvent.Type.REMOVED || event.type() == ConfigEvent.Type.JOINED
				|| event.type() == ConfigEvent.Type.SNAPSHOT_INSTALLED) {
			this.lastRemovalAtMs = nowMs;
		}
		this.events.note("config", event.type(), event.type().isViolation(), event.type().isRoutine(),
				"offset " + event.offset() + ": " + event.detail());
	}

	synchronized boolean isMember() {
		return this.ledger.state().isMember(this.identity.vm(), this.identity.incarnation());
	}

}
