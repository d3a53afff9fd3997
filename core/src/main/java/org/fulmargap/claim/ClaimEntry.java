package org.fulmargap.claim;

import java.util.Optional;

/**
 * Claim that the ledger holds in memory.
 */
final class ClaimEntry {

	final String attemptId;

	final String incarnation;

	final String digest;

	long claimedAtMs;

	long rank;

	/** Offset of the newest record that restores the claim with its original rank. */
	long lastOffset;

	RecordedOutcome outcome;

	ClaimEntry(ClaimRecord.Claim claim, String incarnation, long claimedAtMs, long rank, long lastOffset) {
		this.attemptId = claim.attemptId();
		this.incarnation = incarnation;
		this.digest = claim.digest();
		this.claimedAtMs = claimedAtMs;
		this.rank = rank;
		this.lastOffset = lastOffset;
	}

	ClaimView view() {
		return new ClaimView(this.attemptId, this.incarnation, this.digest, this.claimedAtMs,
				Optional.ofNullable(this.outcome));
	}

	ClaimRecord.Checkpoint checkpoint(ClaimKey key) {
		return new ClaimRecord.Checkpoint(
				new ClaimRecord.Claim(key, this.digest, this.attemptId, this.incarnation, this.claimedAtMs), this.rank,
				this.outcome);
	}

}
