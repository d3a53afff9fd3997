package org.fulmargap.ledger;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.fulmargap.claim.ClaimKey;
import org.fulmargap.claim.ClaimRecord;
import org.fulmargap.claim.RecordedOutcome;
import org.fulmargap.request.Deadline;

/**
 * A request of this entry VM that claims a key. Fields change under the lock of
 * {@link ClaimTable}.
 */
final class ClaimAttempt {

	final ClaimRecord.Claim claim;

	final Deadline deadline;

	final CompletableFuture<ClaimService.Result> future = new CompletableFuture<>();

	final List<Joiner> joiners = new ArrayList<>();

	final List<CompletableFuture<Optional<RecordedOutcome>>> outcomeWaiters = new ArrayList<>();

	State state = State.WAITING;

	/** Whether the claim record was handed to the append queue. */
	boolean queued;

	/** The owner that was last asked for the outcome. */
	String askedAttemptId = "";

	RecordedOutcome outcome;

	ClaimAttempt(ClaimRecord.Claim claim, Deadline deadline) {
		this.claim = claim;
		this.deadline = deadline;
	}

	ClaimKey key() {
		return this.claim.key();
	}

	String attemptId() {
		return this.claim.attemptId();
	}

	/**
	 * States of an attempt.
	 */
	enum State {

		/** The claim is on its way or another attempt owns the key. */
		WAITING,

		/** The attempt owns the key and has not been dispatched. */
		OWNED,

		/** The request may have reached an endpoint. */
		DISPATCHED,

		/** The attempt will never be dispatched; its caller is being answered. */
		ABANDONED,

		/** The attempt ended without reaching an endpoint. */
		RELEASED,

		/** The attempt has an outcome. */
		FINISHED;

		boolean mayHaveRun() {
			return this == DISPATCHED || this == FINISHED;
		}

		boolean canBeAbandoned() {
			return this == WAITING || this == OWNED;
		}

	}

	/**
	 * A repeated request that waits for the attempt.
	 *
	 * @param attemptId the identity of the repeated request
	 * @param deadline the deadline of the repeated request
	 * @param future its result
	 */
	record Joiner(String attemptId, Deadline deadline, CompletableFuture<ClaimService.Result> future) {
	}

}
