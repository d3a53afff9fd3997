package org.fulmargap.claim;

import java.util.Optional;

/**
 * A claim in the memory of the ledger.
 */
final class HeldClaim {

	final String attemptId;

	final String incarnation;

	final String digest;

	long claimedAtMs;

	long rank;

	/** Offset of the newest record with the first rank and all that is known. */
	long lastOffset;

	RecordedOutcome outcome;

	HeldClaim(ClaimRecord.Claim claim, String incarnation, long claimedAtMs, long rank, long lastOffset) {
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
