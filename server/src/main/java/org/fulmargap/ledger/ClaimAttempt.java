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
 * An attempt of this entry VM to claim a key for a request. The fields are guarded by the
 * lock of {@link ClaimTable}.
 */
final class ClaimAttempt {

	final ClaimRecord.Claim claim;

	final Deadline deadline;

	final CompletableFuture<ClaimService.Result> future = new CompletableFuture<>();

	final List<Joiner> joiners = new ArrayList<>();

	final List<CompletableFuture<Optional<RecordedOutcome>>> outcomeWaiters = new ArrayList<>();

	State state = State.WAITING;

	/** Whether the claim record was added to the append queue. */
	boolean queued;

	/** The attempt whose entry VM was last queried for the outcome; empty if none was. */
	String queriedAttemptId = "";

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

		/**
		 * The claim was not read from the stream yet, or another attempt owns the key.
		 */
		WAITING,

		/** The attempt owns the key and has not been dispatched. */
		OWNED,

		/** The request may have reached an endpoint. */
		DISPATCHED,

		/** Never dispatched: the deadline is near, or a peer has queried the key. */
		ABANDONED,

		/** The attempt ended, and no endpoint ran the request. */
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
	 * A retry of the request at this entry VM, which waits for the result of the attempt.
	 *
	 * @param attemptId the attempt id of the retry
	 * @param deadline the deadline of the retry
	 * @param future the result of the retry
	 */
	record Joiner(String attemptId, Deadline deadline, CompletableFuture<ClaimService.Result> future) {
	}

}
