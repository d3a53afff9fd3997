package org.fulmargap.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Claims and releases of one key.
 */
final class KeyEntry {

	/** Claims that are not released, lowest rank first. */
	private final List<ClaimEntry> claims = new ArrayList<>(1);

	/**
	 * Released attempts with the offset of the newest release. Repeated appends of their
	 * claims are ignored.
	 */
	private Map<String, Long> released = Map.of();

	/**
	 * The time of the latest claim, release or outcome in milliseconds since the epoch.
	 * An entry without claims expires by this time.
	 */
	private long lastUpdateMs;

	KeyEntry(long nowMs) {
		this.lastUpdateMs = nowMs;
	}

	void recordUpdate(long atMs) {
		this.lastUpdateMs = Math.max(this.lastUpdateMs, atMs);
	}

	List<ClaimEntry> claims() {
		return this.claims;
	}

	ClaimEntry owner() {
		return this.claims.isEmpty() ? null : this.claims.get(0);
	}

	boolean isFinished() {
		return !this.claims.isEmpty() && this.claims.get(0).outcome != null;
	}

	ClaimEntry find(String attemptId) {
		for (ClaimEntry claim : this.claims) {
			if (claim.attemptId.equals(attemptId)) {
				return claim;
			}
		}
		return null;
	}

	boolean isReleased(String attemptId) {
		return this.released.containsKey(attemptId);
	}

	void add(ClaimEntry claim) {
		this.claims.add(claim);
		sort();
	}

	void sort() {
		this.claims.sort((left, right) -> Long.compare(left.rank, right.rank));
	}

	void checkpoints(ClaimKey key, long target, List<ClaimRecord> due) {
		for (ClaimEntry claim : this.claims) {
			if (claim.lastOffset < target) {
				due.add(claim.checkpoint(key));
			}
		}
		this.released.forEach((attemptId, offset) -> {
			if (offset < target) {
				due.add(new ClaimRecord.Release(key, attemptId));
			}
		});
	}

	void release(ClaimEntry claim, String attemptId, long offset) {
		if (claim != null) {
			this.claims.remove(claim);
		}
		if (this.released.isEmpty()) {
			this.released = new HashMap<>(2);
		}
		this.released.put(attemptId, offset);
	}

	void finish(ClaimEntry owner, RecordedOutcome outcome) {
		owner.outcome = outcome;
		// Once an outcome is recorded, no other claim can own the key.
		this.claims.removeIf((claim) -> claim != owner);
		this.released = Map.of();
	}

	/**
	 * Removes claims that are older than the key lifetime.
	 * @param claimedBeforeMs claims made before this time are removed, milliseconds since
	 * the epoch
	 * @return {@code true} if the whole entry has expired
	 */
	boolean expire(long claimedBeforeMs) {
		this.claims.removeIf((claim) -> claim.claimedAtMs < claimedBeforeMs);
		return this.claims.isEmpty() && this.lastUpdateMs < claimedBeforeMs;
	}

	/**
	 * Removes claims that have no record at or above a coverage offset.
	 * @param offset the offset
	 */
	void removeBelow(long offset) {
		this.claims.removeIf((claim) -> claim.lastOffset < offset);
	}

	boolean isEmpty() {
		return this.claims.isEmpty() && this.released.isEmpty();
	}

}
