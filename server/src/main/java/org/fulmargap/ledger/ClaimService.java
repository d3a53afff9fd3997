package org.fulmargap.ledger;

import java.util.concurrent.CompletableFuture;

import org.fulmargap.claim.ClaimKey;
import org.fulmargap.claim.RecordedOutcome;
import org.fulmargap.request.Deadline;
import org.fulmargap.request.FulmargapException;

/**
 * Claims idempotency keys, so that a non-idempotent request runs at most once.
 */
public interface ClaimService {

	/**
	 * Claims a key, or waits for the outcome of the request that owns it.
	 * @param key the client account and idempotency key
	 * @param digest the SHA-256 digest of pipeline and body, in hexadecimal
	 * @param attemptId the identity of this attempt, globally unique and never reused
	 * @param deadline the deadline of the request
	 * @return a future that completes by the deadline, never exceptionally
	 */
	CompletableFuture<Result> claim(ClaimKey key, String digest, String attemptId, Deadline deadline);

	/**
	 * Result of a claim.
	 */
	sealed interface Result {

		/**
		 * The caller of {@link ClaimService#claim} owns the key.
		 *
		 * @param handle controls the claim
		 */
		record Owned(Handle handle) implements Result {
		}

		/**
		 * An earlier request with the same key has finished.
		 *
		 * @param outcome the recorded response
		 */
		record Finished(RecordedOutcome outcome) implements Result {
		}

		/**
		 * The request is refused.
		 *
		 * @param failure the failure to report for the request
		 */
		record Refused(FulmargapException failure) implements Result {
		}

	}

	/**
	 * Controls an owned claim. A call of either {@link #complete} or {@link #release}
	 * ends the claim.
	 */
	interface Handle {

		/**
		 * Moves the claim to the dispatched state. Must return {@code true} before the
		 * first byte is sent to an endpoint, and is called once only.
		 * @param nowMs the current time in milliseconds since the epoch
		 * @return {@code false} if the claim was abandoned, its deadline has passed or
		 * half of the key lifetime has elapsed
		 */
		boolean markDispatched(long nowMs);

		/**
		 * Records the outcome of the dispatched request.
		 * @param outcome the reply to the request
		 */
		void complete(RecordedOutcome outcome);

		/**
		 * Releases the key. Must be called only if no endpoint ran the request.
		 */
		void release();

	}

}
