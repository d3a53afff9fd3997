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
 * Deterministic state machine over the claims stream: which attempt owns which key, and
 * with what outcome. Instances are not thread safe.
 */
public final class ClaimLedger {

	/**
	 * The number of characters of recorded bodies in memory: a quarter of the 256 MB that
	 * a node may use.
	 */
	private static final long MAX_BODY_CHARS = 64L * 1024 * 1024;

	private final Map<ClaimKey, KeyEntry> entries = new HashMap<>();

	private final OutcomeBodies bodies = new OutcomeBodies(MAX_BODY_CHARS);

	/**
	 * One instance of each account and incarnation, because parsing makes a new string
	 * for every record.
	 */
	private final Map<String, String> sharedNames = new HashMap<>();

	private final long keyLifetimeMs;

	private boolean boundsSeen;

	private boolean complete;

	/** The first retained offset when reading began or when the last gap was noticed. */
	private long readFrom;

	private long readSinceMs;

	private boolean gap;

	private long nextOffset;

	private long firstRetained;

	private long end;

	private long coveredSince = -1;

	/**
	 * Creates an empty ledger.
	 * @param keyLifetimeMs how long a key is remembered, in milliseconds
	 */
	public ClaimLedger(long keyLifetimeMs) {
		if (keyLifetimeMs <= 0) {
			throw new IllegalArgumentException("keyLifetimeMs must be positive: " + keyLifetimeMs);
		}
		this.keyLifetimeMs = keyLifetimeMs;
	}

	/**
	 * Notes the bounds of the stream, before the records of a page are applied.
	 * @param firstOffset the first offset that is retained
	 * @param endOffset the offset that the next append gets
	 * @param nowMs the present time in milliseconds since the epoch
	 * @return what was noticed
	 */
	public List<ClaimEvent> observeBounds(long firstOffset, long endOffset, long nowMs) {
		this.firstRetained = firstOffset;
		this.end = endOffset;
		if (!this.boundsSeen) {
			this.boundsSeen = true;
			this.nextOffset = firstOffset;
			this.readFrom = firstOffset;
			this.readSinceMs = nowMs;
			return List.of();
		}
		if (firstOffset > this.nextOffset || endOffset < this.nextOffset) {
			ClaimEvent event = new ClaimEvent(ClaimEvent.Type.GAP, firstOffset,
					"expected offset " + this.nextOffset + ", stream holds " + firstOffset + " to " + endOffset);
			noteGap(firstOffset, nowMs);
			return List.of(event);
		}
		return List.of();
	}

	/**
	 * Applies the next record of the stream. A record with an offset that was applied
	 * before has no effect.
	 * @param offset the offset of the record
	 * @param appendedAtMs when the log stored the record, milliseconds since the epoch
	 * @param value the record, a batch
	 * @param nowMs the present time in milliseconds since the epoch
	 * @return the keys whose claims may have changed and what was noticed
	 */
	public ApplyResult apply(long offset, long appendedAtMs, JsonNode value, long nowMs) {
		Set<ClaimKey> changed = new HashSet<>();
		List<ClaimEvent> events = new ArrayList<>();
		if (offset < this.nextOffset) {
			return new ApplyResult(changed, events);
		}
		if (offset > this.nextOffset) {
			events.add(new ClaimEvent(ClaimEvent.Type.GAP, offset, "expected offset " + this.nextOffset));
			noteGap(offset, nowMs);
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
	 * Reports whether the end of the stream has been reached, which may complete the
	 * ledger.
	 * @param nowMs the present time in milliseconds since the epoch
	 * @return whether the ledger became complete by this call
	 */
	public boolean tryComplete(long nowMs) {
		if (this.complete || !this.boundsSeen || this.nextOffset < this.end) {
			return false;
		}
		boolean covered = this.coveredSince >= this.readFrom;
		boolean outlived = nowMs - this.readSinceMs > this.keyLifetimeMs;
		if ((this.readFrom > 0 || this.gap) && !covered && !outlived) {
			return false;
		}
		if (this.gap && covered) {
			// Claims released in the gap would otherwise block their keys.
			this.entries.values().forEach((entry) -> entry.dropBelow(this.coveredSince));
			this.entries.values().removeIf(KeyEntry::isEmpty);
		}
		this.gap = false;
		this.complete = true;
		return true;
	}

	/**
	 * Finds the claim that owns a key.
	 * @param key the key
	 * @return the owner, or empty if the key is free
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
		return (entry != null) ? entry.claims().stream().map(HeldClaim::view).toList() : List.of();
	}

	/**
	 * Tells whether the claim of an attempt, or its release, has been applied.
	 * @param key the key
	 * @param attemptId the identity of the attempt
	 * @return {@code true} if the attempt was seen in the stream
	 */
	public boolean hasSeen(ClaimKey key, String attemptId) {
		KeyEntry entry = this.entries.get(key);
		return entry != null && (entry.find(attemptId) != null || entry.isReleased(attemptId));
	}

	/**
	 * Tells whether an attempt was released.
	 * @param key the key
	 * @param attemptId the identity of the attempt
	 * @return {@code true} if its release was applied
	 */
	public boolean isReleased(ClaimKey key, String attemptId) {
		KeyEntry entry = this.entries.get(key);
		return entry != null && entry.isReleased(attemptId);
	}

	/**
	 * Tells whether the ledger holds every live claim of the stream as far as it was
	 * read.
	 * @return {@code true} if claims may be decided by this ledger
	 */
	public boolean isComplete() {
		return this.complete;
	}

	/**
	 * Returns the offset of the next record to read.
	 * @return an offset
	 */
	public long nextOffset() {
		return this.nextOffset;
	}

	/**
	 * Returns the number of keys in memory.
	 * @return a count
	 */
	public int size() {
		return this.entries.size();
	}

	/**
	 * Returns the records to append so that readers who start at the first retained
	 * offset find every live claim: checkpoints of the claims whose records are the
	 * oldest, releases that keep repeated appends of their claims without effect, or the
	 * statement that none is left below the middle of the stream.
	 * @param max the number of records that is enough for one append
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
	 * Forgets claims that are older than the key lifetime.
	 * @param nowMs the present time in milliseconds since the epoch
	 */
	public void expire(long nowMs) {
		this.entries.values().removeIf((entry) -> entry.expire(nowMs - this.keyLifetimeMs));
		this.bodies.expire(nowMs - this.keyLifetimeMs);
	}

	private void noteGap(long offset, long nowMs) {
		this.complete = false;
		this.gap = true;
		this.nextOffset = offset;
		this.readFrom = offset;
		this.readSinceMs = nowMs;
		this.coveredSince = -1;
	}

	private void apply(ClaimRecord record, RecordPosition position, Set<ClaimKey> changed, List<ClaimEvent> events) {
		if (record instanceof ClaimRecord.Claim claim) {
			// The later of the two clocks counts, so that a claim by a VM whose clock is
			// behind does not expire early.
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
		KeyEntry entry = this.entries.computeIfAbsent(shared(claim.key()), (key) -> new KeyEntry(claimedAtMs));
		HeldClaim known = entry.find(claim.attemptId());
		if (known != null) {
			if (rank < known.rank) {
				known.rank = rank;
				known.claimedAtMs = claimedAtMs;
				entry.sort();
			}
			// A repeated append carries neither the first rank nor the outcome, so that
			// it
			// cannot stand in for the first record.
			if (rank != position.rank() && (known.outcome == null || outcome != null)) {
				known.lastOffset = position.offset();
			}
			if (known.outcome == null && outcome != null) {
				entry.finish(known, outcome);
				this.bodies.add(known);
			}
			return;
		}
		// An outcome counts more than a release: the request has run.
		if (entry.isFinished() || (outcome == null && entry.isReleased(claim.attemptId()))) {
			return;
		}
		entry.touch(claimedAtMs);
		HeldClaim held = new HeldClaim(claim, shared(claim.incarnation()), claimedAtMs, rank, position.offset());
		entry.add(held);
		if (outcome != null) {
			entry.finish(held, outcome);
			this.bodies.add(held);
		}
	}

	private ClaimKey shared(ClaimKey key) {
		return new ClaimKey(shared(key.account()), key.key());
	}

	private String shared(String name) {
		String known = this.sharedNames.putIfAbsent(name, name);
		return (known != null) ? known : name;
	}

	private void finish(ClaimRecord.Outcome outcome, RecordPosition position, List<ClaimEvent> events) {
		KeyEntry entry = this.entries.get(outcome.key());
		HeldClaim claim = (entry != null) ? entry.find(outcome.attemptId()) : null;
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
			events.add(new ClaimEvent(violation(ClaimEvent.Type.OUTCOME_OF_LOSER), position.offset(),
					"attempt " + outcome.attemptId() + ", the owner is " + entry.owner().attemptId));
		}
		entry.touch(position.appendedAtMs());
		entry.finish(claim, outcome.outcome());
		this.bodies.add(claim);
	}

	private void release(ClaimRecord.Release release, RecordPosition position, List<ClaimEvent> events) {
		KeyEntry entry = this.entries.computeIfAbsent(release.key(), (key) -> new KeyEntry(position.appendedAtMs()));
		HeldClaim claim = entry.find(release.attemptId());
		if (claim != null && claim.outcome != null) {
			events.add(new ClaimEvent(ClaimEvent.Type.RELEASE_AFTER_OUTCOME, position.offset(),
					"attempt " + release.attemptId()));
			return;
		}
		if (!entry.isFinished()) {
			if (!entry.isReleased(release.attemptId())) {
				entry.touch(position.appendedAtMs());
			}
			entry.release(claim, release.attemptId(), position.offset());
		}
	}

	private ClaimEvent.Type violation(ClaimEvent.Type type) {
		// A reader that began in the middle may know a repeated append as the first, and
		// thus the wrong owner, until a checkpoint gives the rank.
		return this.complete ? type : ClaimEvent.Type.NOT_JUDGED;
	}

	/**
	 * Result of one record.
	 *
	 * @param changed the keys whose claims may have changed
	 * @param events what was noticed
	 */
	public record ApplyResult(Set<ClaimKey> changed, List<ClaimEvent> events) {
	}

}
