package org.fulmargap.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * All claims of one key.
 */
final class KeyEntry {

	/** Claims that are not released, lowest rank first. */
	private final List<HeldClaim> claims = new ArrayList<>(1);

	/**
	 * Attempts that were released, with the offset of the newest release. Repeated
	 * appends of their claims are ignored.
	 */
	private Map<String, Long> released = Map.of();

	/** The newest time of any record of the key; decides when the entry expires. */
	private long touchedAtMs;

	KeyEntry(long nowMs) {
		this.touchedAtMs = nowMs;
	}

	void touch(long atMs) {
		this.touchedAtMs = Math.max(this.touchedAtMs, atMs);
	}

	List<HeldClaim> claims() {
		return this.claims;
	}

	HeldClaim owner() {
		return this.claims.isEmpty() ? null : this.claims.get(0);
	}

	boolean isFinished() {
		return !this.claims.isEmpty() && this.claims.get(0).outcome != null;
	}

	HeldClaim find(String attemptId) {
		for (HeldClaim claim : this.claims) {
			if (claim.attemptId.equals(attemptId)) {
				return claim;
			}
		}
		return null;
	}

	boolean isReleased(String attemptId) {
		return this.released.containsKey(attemptId);
	}

	void add(HeldClaim claim) {
		this.claims.add(claim);
		sort();
	}

	void sort() {
		this.claims.sort((left, right) -> Long.compare(left.rank, right.rank));
	}

	void checkpoints(ClaimKey key, long target, List<ClaimRecord> due) {
		for (HeldClaim claim : this.claims) {
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

	void release(HeldClaim claim, String attemptId, long offset) {
		if (claim != null) {
			this.claims.remove(claim);
		}
		if (this.released.isEmpty()) {
			this.released = new HashMap<>(2);
		}
		this.released.put(attemptId, offset);
	}

	void finish(HeldClaim owner, RecordedOutcome outcome) {
		owner.outcome = outcome;
		// After an outcome no other claim can come to own the key.
		this.claims.removeIf((claim) -> claim != owner);
		this.released = Map.of();
	}

	/**
	 * Drops claims that are older than the key lifetime.
	 * @param claimedBeforeMs the time before which claims are dropped
	 * @return whether the whole entry is out of date
	 */
	boolean expire(long claimedBeforeMs) {
		this.claims.removeIf((claim) -> claim.claimedAtMs < claimedBeforeMs);
		return this.claims.isEmpty() && this.touchedAtMs < claimedBeforeMs;
	}

	/**
	 * Drops claims without a record at or above an offset that covers all live claims.
	 * @param offset the offset
	 */
	void dropBelow(long offset) {
		this.claims.removeIf((claim) -> claim.lastOffset < offset);
	}

	boolean isEmpty() {
		return this.claims.isEmpty() && this.released.isEmpty();
	}

}
