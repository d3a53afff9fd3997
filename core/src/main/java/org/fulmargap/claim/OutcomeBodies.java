package org.fulmargap.claim;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Bounds the memory that recorded bodies take. When the bound is exceeded, the outcomes
 * that were recorded first lose their bodies but stay recorded.
 */
final class OutcomeBodies {

	private final Deque<HeldClaim> claims = new ArrayDeque<>();

	private final long maxChars;

	private long chars;

	OutcomeBodies(long maxChars) {
		this.maxChars = maxChars;
	}

	void add(HeldClaim claim) {
		this.claims.addLast(claim);
		this.chars += claim.outcome.body().length();
		while (this.chars > this.maxChars) {
			dropFirst();
		}
	}

	void expire(long claimedBeforeMs) {
		while (!this.claims.isEmpty() && this.claims.getFirst().claimedAtMs < claimedBeforeMs) {
			dropFirst();
		}
	}

	private void dropFirst() {
		HeldClaim claim = this.claims.removeFirst();
		this.chars -= claim.outcome.body().length();
		claim.outcome = new RecordedOutcome(claim.outcome.httpStatus(), "", claim.outcome.unknown());
	}

}
