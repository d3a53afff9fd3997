package org.fulmargap.claim;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the memory that the bodies of recorded outcomes use. When the limit is exceeded,
 * the bodies that were added first are evicted; their outcomes are kept.
 */
final class OutcomeBodyCache {

	private final Deque<ClaimEntry> claims = new ArrayDeque<>();

	private final long maxChars;

	private long chars;

	OutcomeBodyCache(long maxChars) {
		this.maxChars = maxChars;
	}

	void add(ClaimEntry claim) {
		this.claims.addLast(claim);
		this.chars += claim.outcome.body().length();
		while (this.chars > this.maxChars) {
			evictFirst();
		}
	}

	void expire(long claimedBeforeMs) {
		while (!this.claims.isEmpty() && this.claims.getFirst().claimedAtMs < claimedBeforeMs) {
			evictFirst();
		}
	}

	private void evictFirst() {
		ClaimEntry claim = this.claims.removeFirst();
		this.chars -= claim.outcome.body().length();
		claim.outcome = new RecordedOutcome(claim.outcome.httpStatus(), "", claim.outcome.unknown());
	}

}
