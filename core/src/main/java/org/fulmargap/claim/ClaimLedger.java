package org.fulmargap.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;

/**
 * Deterministic state machine that applies the claims stream. It determines which attempt
 * owns each key and which outcome is recorded for it. Instances are not thread safe.
 */
public final class ClaimLedger {

	/**
	 * The maximum number of characters of the recorded bodies in memory: a quarter of the
	 * 256 MB that a node may use.
	 */
	private static final long MAX_BODY_CHARS = 64L * 1024 * 1024;

	private final Map<ClaimKey, KeyEntry> entries = new HashMap<>();

	private final OutcomeBodyCache bodies = new OutcomeBodyCache(MAX_BODY_CHARS);

	/**
	 * Interned names of accounts and incarnations, because parsing creates a new string
	 * for every record.
	 */
	private final Map<String, String> internedNames = new HashMap<>();

	private final long keyLifetimeMs;

	private boolean boundsKnown;

	private boolean complete;

	/** The offset at which reading started, initially or after the last gap. */
	private long readFromOffset;

	private long readStartedAtMs;

	private boolean gap;

	private long nextOffset;

	private long firstRetained;

	private long end;

	private long coveredSince = -1;

	/**
	 * Creates an empty ledger.
	 * @param keyLifetimeMs how long a claim on a key is kept, in milliseconds
	 */
	public ClaimLedger(long keyLifetimeMs) {
		if (keyLifetimeMs <= 0) {
			throw new IllegalArgumentException("keyLifetimeMs must be positive: " + keyLifetimeMs);
		}
		this.keyLifetimeMs = keyLifetimeMs;
	}

	/**
	 * Updates the bounds of the stream. Call this before the records of a page are
	 * applied.
	 * @param firstOffset the first offset that is retained
	 * @param endOffset the offset that the next append gets
	 * @param nowMs the current time in milliseconds since the epoch
	 * @return a gap event if records are missing, otherwise empty
	 */
	public List<ClaimEvent> observeBounds(long firstOffset, long endOffset, long nowMs) {
		this.firstRetained = firstOffset;
		this.end = endOffset;
		if (!this.boundsKnown) {
			this.boundsKnown = true;
			this.nextOffset = firstOffset;
			this.readFromOffset = firstOffset;
			this.readStartedAtMs = nowMs;
			return List.of();
		}
		if (firstOffset > this.nextOffset || endOffset < this.nextOffset) {
			ClaimEvent event = new ClaimEvent(ClaimEvent.Type.GAP, firstOffset,
					"expected offset " + this.nextOffset + ", stream holds " + firstOffset + " to " + endOffset);
			recordGap(firstOffset, nowMs);
			return List.of(event);
		}
		return List.of();
	}

	/**
	 * Applies the next record of the stream. A record with an offset that was applied
	 * before has no effect.
	 * @param offset the offset of the record
	 * @param appendedAtMs when the log stored the record, milliseconds since the epoch
	 * @param value the record, which contains a batch
	 * @param nowMs the current time in milliseconds since the epoch
	 * @return the keys whose claims may have changed, and the events
	 */
	public ApplyResult apply(long offset, long appendedAtMs, JsonNode value, long nowMs) {
		Set<ClaimKey> changed = new HashSet<>();
		List<ClaimEvent> events = new ArrayList<>();
		if (offset < this.nextOffset) {
			return new ApplyResult(changed, events);
		}
		if (offset > this.nextOffset) {
			events.add(new ClaimEvent(ClaimEvent.Type.GAP, offset, "expected offset " + this.nextOffset));
			recordGap(offset, nowMs);
		}
		this.nextOffset = offset + 1;
		try {
			int index = 0;
			for (ClaimBatch.Parsed parsed : ClaimBatch.fromJson(value)) {
				RecordPosition position = new RecordPosition(offset, index++, appendedAtMs);
				if (parsed.record() == null) {
					events.add(new ClaimEvent(ClaimEvent.Type.UNREADABLE, offset, parsed.error()));
				}
				else {
					apply(parsed.record(), position, changed, events);
				}
			}
		}
		catch (JsonProcessingException ex) {
			events.add(new ClaimEvent(ClaimEvent.Type.UNREADABLE, offset, ex.getOriginalMessage()));
		}
		return new ApplyResult(changed, events);
	}

	/**
	 * Marks the ledger as complete if the end of the stream has been reached and no live
	 * claim can be missing. That is so if the stream was read from its first record
	 * without a gap, if reading started at or below a coverage offset, or if all earlier
	 * claims have expired.
	 * @param nowMs the current time in milliseconds since the epoch
	 * @return {@code true} if this call made the ledger complete
	 */
	public boolean tryComplete(long nowMs) {
		if (this.complete || !this.boundsKnown || this.nextOffset < this.end) {
			return false;
		}
		boolean covered = this.coveredSince >= this.readFromOffset;
		boolean lifetimeElapsed = nowMs - this.readStartedAtMs > this.keyLifetimeMs;
		if ((this.readFromOffset > 0 || this.gap) && !covered && !lifetimeElapsed) {
			return false;
		}
		if (this.gap && covered) {
			// Removes claims whose release may be in the gap: they would block keys.
			this.entries.values().forEach((entry) -> entry.removeBelow(this.coveredSince));
			this.entries.values().removeIf(KeyEntry::isEmpty);
		}
		this.gap = false;
		this.complete = true;
		return true;
	}

	/**
	 * Finds the claim that owns a key.
	 * @param key the key
	 * @return the owner, or empty if no claim is held
	 */
	public Optional<ClaimView> owner(ClaimKey key) {
		KeyEntry entry = this.entries.get(key);
		return (entry != null && entry.owner() != null) ? Optional.of(entry.owner().view()) : Optional.empty();
	}

	/**
	 * Lists all claims for a key that are not released.
	 * @param key the key
	 * @return the claims, the owner first
	 */
	public List<ClaimView> claims(ClaimKey key) {
		KeyEntry entry = this.entries.get(key);
		return (entry != null) ? entry.claims().stream().map(ClaimEntry::view).toList() : List.of();
	}

	/**
	 * Returns whether the claim of an attempt, or its release, has been applied.
	 * @param key the key
	 * @param attemptId the id of the attempt
	 * @return {@code true} if the ledger holds the claim or the release
	 */
	public boolean hasSeen(ClaimKey key, String attemptId) {
		KeyEntry entry = this.entries.get(key);
		return entry != null && (entry.find(attemptId) != null || entry.isReleased(attemptId));
	}

	/**
	 * Returns whether an attempt was released.
	 * @param key the key
	 * @param attemptId the id of the attempt
	 * @return {@code true} if the ledger holds its release
	 */
	public boolean isReleased(ClaimKey key, String attemptId) {
		KeyEntry entry = this.entries.get(key);
		return entry != null && entry.isReleased(attemptId);
	}

	/**
	 * Returns whether the ledger holds every live claim of the part of the stream that it
	 * has applied.
	 * @return {@code true} if the ledger may be used to decide who owns a key
	 */
	public boolean isComplete() {
		return this.complete;
	}

	/**
	 * Returns the offset of the next record to read.
	 * @return the offset
	 */
	public long nextOffset() {
		return this.nextOffset;
	}

	/**
	 * Returns the number of keys in memory.
	 * @return the number of keys
	 */
	public int size() {
		return this.entries.size();
	}

	/**
	 * Returns the records to append so that a reader that starts at the first retained
	 * offset finds every live claim. These are checkpoints of claims and repeated
	 * releases whose last record is in the older half of the stream, or a coverage record
	 * if there are none. A release is repeated because a repeated append of its claim
	 * would otherwise take effect.
	 * @param max the number of records at which no further keys are added
	 * @return the records, empty if none is due or the ledger is incomplete
	 */
	public List<ClaimRecord> checkpointsDue(int max) {
		long retained = this.end - this.firstRetained;
		if (!this.complete || this.firstRetained == 0 || this.coveredSince >= this.firstRetained + retained / 4) {
			return List.of();
		}
		long target = this.firstRetained + retained / 2;
		List<ClaimRecord> due = new ArrayList<>();
		for (Map.Entry<ClaimKey, KeyEntry> entry : this.entries.entrySet()) {
			entry.getValue().checkpoints(entry.getKey(), target, due);
			if (due.size() >= max) {
				return due;
			}
		}
		return due.isEmpty() ? List.of(new ClaimRecord.Coverage(target)) : due;
	}

	/**
	 * Removes claims that are older than the key lifetime.
	 * @param nowMs the current time in milliseconds since the epoch
	 */
	public void expire(long nowMs) {
		this.entries.values().removeIf((entry) -> entry.expire(nowMs - this.keyLifetimeMs));
		this.bodies.expire(nowMs - this.keyLifetimeMs);
	}

	private void recordGap(long offset, long nowMs) {
		this.complete = false;
		this.gap = true;
		this.nextOffset = offset;
		this.readFromOffset = offset;
		this.readStartedAtMs = nowMs;
		this.coveredSince = -1;
	}

	private void apply(ClaimRecord record, RecordPosition position, Set<ClaimKey> changed, List<ClaimEvent> events) {
		if (record instanceof ClaimRecord.Claim claim) {
			// The later time applies, so that a claim by a VM whose clock is behind does
			// not expire early.
			long claimedAtMs = Math.max(claim.claimedAtMs(), position.appendedAtMs());
			insert(claim, claimedAtMs, position.rank(), null, position);
			changed.add(claim.key());
		}
		else if (record instanceof ClaimRecord.Checkpoint checkpoint) {
			insert(checkpoint.claim(), checkpoint.claim().claimedAtMs(), checkpoint.rank(), checkpoint.outcome(),
					position);
			changed.add(checkpoint.claim().key());
		}
		else if (record instanceof ClaimRecord.Outcome outcome) {
			finish(outcome, position, events);
			changed.add(outcome.key());
		}
		else if (record instanceof ClaimRecord.Release release) {
			release(release, position, events);
			changed.add(release.key());
		}
		else if (record instanceof ClaimRecord.Coverage coverage) {
			this.coveredSince = Math.max(this.coveredSince, coverage.since());
		}
	}

	private void insert(ClaimRecord.Claim claim, long claimedAtMs, long rank, RecordedOutcome outcome,
			RecordPosition position) {
		KeyEntry entry = this.entries.computeIfAbsent(interned(claim.key()), (key) -> new KeyEntry(claimedAtMs));
		ClaimEntry existing = entry.find(claim.attemptId());
		if (existing != null) {
			if (rank < existing.rank) {
				existing.rank = rank;
				existing.claimedAtMs = claimedAtMs;
				entry.sort();
			}
			// A repeated append carries neither the original rank nor the outcome. It
			// therefore cannot replace the first record.
			if (rank != position.rank() && (existing.outcome == null || outcome != null)) {
				existing.lastOffset = position.offset();
			}
			if (existing.outcome == null && outcome != null) {
				entry.finish(existing, outcome);
				this.bodies.add(existing);
			}
			return;
		}
		// An outcome takes precedence over a release because the request has run.
		if (entry.isFinished() || (outcome == null && entry.isReleased(claim.attemptId()))) {
			return;
		}
		entry.recordUpdate(claimedAtMs);
		ClaimEntry held = new ClaimEntry(claim, interned(claim.incarnation()), claimedAtMs, rank, position.offset());
		entry.add(held);
		if (outcome != null) {
			entry.finish(held, outcome);
			this.bodies.add(held);
		}
	}

	private ClaimKey interned(ClaimKey key) {
		return new ClaimKey(interned(key.account()), key.key());
	}

	private String interned(String name) {
		String known = this.internedNames.putIfAbsent(name, name);
		return (known != null) ? known : name;
	}

	private void finish(ClaimRecord.Outcome outcome, RecordPosition position, List<ClaimEvent> events) {
		KeyEntry entry = this.entries.get(outcome.key());
		ClaimEntry claim = (entry != null) ? entry.find(outcome.attemptId()) : null;
		if (claim == null) {
			boolean released = entry != null && entry.isReleased(outcome.attemptId());
			events.add(new ClaimEvent(
					released ? ClaimEvent.Type.OUTCOME_AFTER_RELEASE : ClaimEvent.Type.OUTCOME_WITHOUT_CLAIM,
					position.offset(), "attempt " + outcome.attemptId()));
			return;
		}
		if (claim.outcome != null) {
			return;
		}
		if (claim != entry.owner()) {
			events.add(new ClaimEvent(violationIfComplete(ClaimEvent.Type.OUTCOME_OF_LOSER), position.offset(),
					"attempt " + outcome.attemptId() + ", the owner is " + entry.owner().attemptId));
		}
		entry.recordUpdate(position.appendedAtMs());
		entry.finish(claim, outcome.outcome());
		this.bodies.add(claim);
	}

	private void release(ClaimRecord.Release release, RecordPosition position, List<ClaimEvent> events) {
		KeyEntry entry = this.entries.computeIfAbsent(release.key(), (key) -> new KeyEntry(position.appendedAtMs()));
		ClaimEntry claim = entry.find(release.attemptId());
		if (claim != null && claim.outcome != null) {
			events.add(new ClaimEvent(ClaimEvent.Type.RELEASE_AFTER_OUTCOME, position.offset(),
					"attempt " + release.attemptId()));
			return;
		}
		if (!entry.isFinished()) {
			if (!entry.isReleased(release.attemptId())) {
				entry.recordUpdate(position.appendedAtMs());
			}
			entry.release(claim, release.attemptId(), position.offset());
		}
	}

	private ClaimEvent.Type violationIfComplete(ClaimEvent.Type type) {
		// A reader that started in the middle of the stream may take a repeated append
		// for the first record. It then has the wrong owner until it reads a checkpoint
		// with the original rank.
		return this.complete ? type : ClaimEvent.Type.NOT_JUDGED;
	}

	/**
	 * Result of applying one record of the stream.
	 *
	 * @param changed the keys whose claims may have changed
	 * @param events the events to report
	 */
	public record ApplyResult(Set<ClaimKey> changed, List<ClaimEvent> events) {
	}

}
