package org.fulmargap.ledger;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.fulmargap.claim.ClaimEvent;
import org.fulmargap.claim.ClaimKey;
import org.fulmargap.claim.ClaimLedger;
import org.fulmargap.claim.ClaimRecord;
import org.fulmargap.claim.ClaimView;
import org.fulmargap.claim.RecordedOutcome;
import org.fulmargap.ledger.ClaimAttempt.State;
import org.fulmargap.peer.PeerNetwork;
import org.fulmargap.request.FulmargapException;

/**
 * The claims of one entry VM: the ledger, the VM's own attempts and the records to
 * append. Every method holds the lock of the instance. Actions that must run without it
 * (completing futures, peer queries, timers) are returned, and the caller runs them after
 * the lock is released.
 */
final class ClaimTable {

	/**
	 * The maximum duration in milliseconds of the queries that ask the members about the
	 * key of an abandoned attempt. A member that replied does not dispatch the key within
	 * this time, so that "not run" is still true when the caller of the HTTP API receives
	 * it.
	 */
	static final long RESOLVE_TIMEOUT_MS = 400;

	/**
	 * The number of checkpoints at which no further keys are queued. Each checkpoint can
	 * contain a recorded body of 16 Ki characters.
	 */
	private static final int MAX_CHECKPOINTS = 256;

	private final ServiceIdentity identity;

	private final long keyLifetimeMs;

	private final ClaimActions actions;

	private final PlatformEvents events;

	private final ClaimLedger ledger;

	private final Map<ClaimKey, ClaimAttempt> attempts = new HashMap<>();

	private final Map<ClaimKey, Long> holdUntilMs = new HashMap<>();

	private final AppendQueue queue;

	ClaimTable(ServiceIdentity identity, long keyLifetimeMs, ClaimActions actions, AppendQueue queue,
			PlatformEvents events) {
		this.identity = identity;
		this.keyLifetimeMs = keyLifetimeMs;
		this.actions = actions;
		this.queue = queue;
		this.events = events;
		this.ledger = new ClaimLedger(keyLifetimeMs);
	}

	synchronized DeferredActions claim(ClaimAttempt attempt, long nowMs) {
		DeferredActions deferred = new DeferredActions();
		ClaimKey key = attempt.key();
		ClaimAttempt running = this.attempts.get(key);
		if (running != null) {
			join(running, attempt, nowMs, deferred);
			return deferred;
		}
		Optional<ClaimView> owner = this.ledger.owner(key);
		if (owner.isPresent() && owner.get().outcome().isPresent()) {
			deferred.complete(attempt.future,
					ClaimRefusals.finishedOrConflict(attempt, owner.get(), owner.get().outcome().get()));
			return deferred;
		}
		this.attempts.put(key, attempt);
		enqueue(attempt);
		long resolveMs = Math.min(RESOLVE_TIMEOUT_MS, attempt.deadline.remainingMs(nowMs) / 3);
		deferred.schedule(attempt.deadline.remainingMs(nowMs) - resolveMs, () -> this.actions.resolve(attempt));
		checkOwner(attempt, nowMs, deferred);
		return deferred;
	}

	synchronized boolean markDispatched(ClaimAttempt attempt, long nowMs) {
		if (attempt.state != State.OWNED || attempt.deadline.isPassed(nowMs)
				|| nowMs - attempt.claim.claimedAtMs() >= this.keyLifetimeMs / 2) {
			return false;
		}
		attempt.state = State.DISPATCHED;
		return true;
	}

	synchronized DeferredActions complete(ClaimAttempt attempt, RecordedOutcome outcome) {
		DeferredActions deferred = new DeferredActions();
		if (attempt.state != State.DISPATCHED) {
			this.events.recordViolation("claims", "OUTCOME_WITHOUT_DISPATCH",
					attempt.attemptId() + " " + attempt.state);
			return deferred;
		}
		attempt.state = State.FINISHED;
		attempt.outcome = outcome;
		this.queue.add(new ClaimRecord.Outcome(attempt.key(), attempt.attemptId(), outcome.toRecord()));
		for (ClaimAttempt.Joiner joiner : attempt.joiners) {
			deferred.complete(joiner.future(), new ClaimService.Result.Finished(outcome));
		}
		attempt.outcomeWaiters.forEach((waiter) -> deferred.complete(waiter, Optional.of(outcome)));
		return deferred;
	}

	synchronized DeferredActions release(ClaimAttempt attempt) {
		DeferredActions deferred = new DeferredActions();
		if (attempt.state == State.OWNED || attempt.state == State.DISPATCHED) {
			end(attempt, State.RELEASED, deferred);
		}
		return deferred;
	}

	// Decides about an attempt that still waits shortly before its deadline.
	synchronized DeferredActions resolve(ClaimAttempt attempt, long nowMs) {
		DeferredActions deferred = new DeferredActions();
		if (attempt.state != State.WAITING) {
			return deferred;
		}
		if (hasOutcomeOrForeignClaim(attempt.key())) {
			deferred.schedule(Math.max(0, attempt.deadline.remainingMs(nowMs) - 20),
					() -> this.actions.timeOut(attempt));
		}
		else {
			abandon(attempt, nowMs, deferred);
		}
		return deferred;
	}

	synchronized DeferredActions timeOut(ClaimAttempt attempt) {
		DeferredActions deferred = new DeferredActions();
		if (attempt.state == State.WAITING) {
			refuse(attempt, ClaimRefusals.outcomeUnknown("OWNER_RUNNING", "another attempt of the key runs"), deferred);
		}
		return deferred;
	}

	synchronized DeferredActions ownerReplied(ClaimAttempt attempt, String ownerAttemptId,
			Optional<RecordedOutcome> outcome) {
		DeferredActions deferred = new DeferredActions();
		if (attempt.state != State.WAITING) {
			return deferred;
		}
		if (outcome.isPresent()) {
			deferred.complete(attempt.future, new ClaimService.Result.Finished(outcome.get()));
			end(attempt, State.RELEASED, deferred);
		}
		else {
			deferred.schedule(RESOLVE_TIMEOUT_MS, () -> this.actions.ownerTimedOut(attempt, ownerAttemptId));
		}
		return deferred;
	}

	// Refuses an attempt whose query to the owner returned no outcome, unless another
	// attempt owns the key by now.
	synchronized DeferredActions ownerTimedOut(ClaimAttempt attempt, String ownerAttemptId) {
		DeferredActions deferred = new DeferredActions();
		Optional<ClaimView> owner = this.ledger.owner(attempt.key());
		boolean unchanged = owner.isPresent() && owner.get().attemptId().equals(ownerAttemptId);
		if (attempt.state == State.WAITING && unchanged) {
			refuse(attempt, ClaimRefusals.outcomeUnknown("OWNER_UNREACHABLE", "the owner of the key does not answer"),
					deferred);
		}
		return deferred;
	}

	// Refuses an abandoned attempt: with NOT_RUN if every member replied that it did not
	// run the request and the complete ledger holds no outcome and no claim of another
	// incarnation, otherwise with OUTCOME_UNKNOWN.
	synchronized DeferredActions finishAbandoned(ClaimAttempt attempt, boolean allReportNotRun) {
		DeferredActions deferred = new DeferredActions();
		if (attempt.state != State.ABANDONED) {
			return deferred;
		}
		boolean notRun = allReportNotRun && this.ledger.isComplete() && !hasOutcomeOrForeignClaim(attempt.key());
		FulmargapException failure = notRun ? ClaimRefusals.notRun() : ClaimRefusals.outcomeUnknown("LOG_UNAVAILABLE",
				"the log is unavailable and an earlier attempt may have run");
		refuse(attempt, failure, deferred);
		return deferred;
	}

	// Replies to a peer whether the request may have run here, and abandons an attempt
	// that was not dispatched.
	synchronized DeferredActions keyQuery(ClaimKey key, long nowMs, CompletableFuture<PeerNetwork.KeyState> reply) {
		DeferredActions deferred = new DeferredActions();
		this.holdUntilMs.put(key, nowMs + RESOLVE_TIMEOUT_MS);
		ClaimAttempt attempt = this.attempts.get(key);
		PeerNetwork.KeyState state = PeerNetwork.KeyState.NONE;
		if (attempt != null && attempt.state.mayHaveRun()) {
			state = PeerNetwork.KeyState.DISPATCHED;
		}
		else if (attempt != null) {
			state = PeerNetwork.KeyState.ABANDONED;
			if (attempt.state == State.WAITING) {
				abandon(attempt, nowMs, deferred);
			}
			else if (attempt.state == State.OWNED) {
				end(attempt, State.ABANDONED, deferred);
			}
		}
		if (!this.ledger.isComplete() || hasOutcomeOrForeignClaim(key)) {
			state = PeerNetwork.KeyState.DISPATCHED;
		}
		PeerNetwork.KeyState replyState = state;
		deferred.complete(reply, replyState);
		return deferred;
	}

	synchronized DeferredActions outcomeQuery(ClaimKey key, long waitMs,
			CompletableFuture<Optional<RecordedOutcome>> reply) {
		DeferredActions deferred = new DeferredActions();
		ClaimAttempt attempt = this.attempts.get(key);
		Optional<RecordedOutcome> recorded = this.ledger.owner(key).flatMap(ClaimView::outcome);
		if (attempt != null && attempt.outcome != null) {
			deferred.complete(reply, Optional.of(attempt.outcome));
		}
		else if (recorded.isPresent() || attempt == null || waitMs <= 0) {
			deferred.complete(reply, recorded);
		}
		else {
			attempt.outcomeWaiters.add(reply);
			deferred.schedule(waitMs, () -> reply.complete(Optional.empty()));
		}
		return deferred;
	}

	synchronized DeferredActions read(LogPage page, long nowMs) {
		DeferredActions deferred = new DeferredActions();
		this.ledger.observeBounds(page.firstOffset(), page.nextOffset(), nowMs).forEach(this::recordEvent);
		for (LogPage.Entry entry : page.records()) {
			ClaimLedger.ApplyResult result = this.ledger.apply(entry.offset(), entry.appendedAtMs(), entry.value(),
					nowMs);
			result.events().forEach(this::recordEvent);
			for (ClaimKey key : result.changed()) {
				ClaimAttempt attempt = this.attempts.get(key);
				if (attempt != null) {
					claimsChanged(attempt, nowMs, deferred);
				}
			}
		}
		return deferred;
	}

	synchronized DeferredActions reachedEnd(long nowMs) {
		DeferredActions deferred = new DeferredActions();
		this.queue.removeStored(this.ledger);
		if (this.ledger.tryComplete(nowMs)) {
			recordEvent(
					new ClaimEvent(ClaimEvent.Type.COMPLETE, this.ledger.nextOffset(), this.ledger.size() + " keys"));
			for (ClaimAttempt attempt : List.copyOf(this.attempts.values())) {
				if (attempt.state == State.WAITING) {
					enqueue(attempt);
					checkOwner(attempt, nowMs, deferred);
				}
			}
		}
		return deferred;
	}

	synchronized void expire(long nowMs) {
		this.ledger.expire(nowMs);
		this.holdUntilMs.values().removeIf((until) -> until < nowMs);
	}

	synchronized DeferredActions holdExpired(ClaimAttempt attempt, long nowMs) {
		DeferredActions deferred = new DeferredActions();
		checkOwner(attempt, nowMs, deferred);
		return deferred;
	}

	// Returns whether checkpoints are due, and queues them if appendNow is set. They keep
	// live claims readable after retention has removed their first records.
	synchronized boolean planCheckpoints(boolean appendNow) {
		List<ClaimRecord> due = this.ledger.checkpointsDue(MAX_CHECKPOINTS);
		if (appendNow) {
			due.forEach(this.queue::add);
		}
		return !due.isEmpty();
	}

	synchronized boolean isComplete() {
		return this.ledger.isComplete();
	}

	synchronized long nextOffset() {
		return this.ledger.nextOffset();
	}

	private void enqueue(ClaimAttempt attempt) {
		if (this.ledger.isComplete() && !attempt.queued) {
			attempt.queued = true;
			this.queue.add(attempt.claim);
		}
	}

	private void join(ClaimAttempt running, ClaimAttempt retry, long nowMs, DeferredActions deferred) {
		if (!running.claim.digest().equals(retry.claim.digest())) {
			deferred.complete(retry.future, ClaimRefusals.conflict());
		}
		else if (running.outcome != null) {
			deferred.complete(retry.future, new ClaimService.Result.Finished(running.outcome));
		}
		else {
			running.joiners.add(new ClaimAttempt.Joiner(retry.attemptId(), retry.deadline, retry.future));
			deferred.schedule(Math.max(0, retry.deadline.remainingMs(nowMs) - 20),
					() -> retry.future.complete(new ClaimService.Result.Refused(ClaimRefusals
						.outcomeUnknown("STILL_RUNNING", "an earlier request with the same key is still running"))));
		}
	}

	private void claimsChanged(ClaimAttempt attempt, long nowMs, DeferredActions deferred) {
		Optional<ClaimView> owner = this.ledger.owner(attempt.key());
		boolean isOwner = owner.filter((view) -> view.attemptId().equals(attempt.attemptId())).isPresent();
		if (attempt.state == State.WAITING) {
			checkOwner(attempt, nowMs, deferred);
		}
		else if (attempt.state == State.FINISHED && isOwner && owner.get().outcome().isPresent()) {
			this.attempts.remove(attempt.key(), attempt);
		}
		else if (attempt.state.mayHaveRun() && !isOwner && this.ledger.isComplete()
				&& nowMs - attempt.claim.claimedAtMs() < this.keyLifetimeMs / 2) {
			this.events.recordViolation("claims", "DISPATCHED_WITHOUT_OWNERSHIP", attempt.attemptId() + " " + owner);
		}
	}

	private void checkOwner(ClaimAttempt attempt, long nowMs, DeferredActions deferred) {
		Optional<ClaimView> found = this.ledger.owner(attempt.key());
		if (attempt.state != State.WAITING || found.isEmpty()) {
			return;
		}
		ClaimView owner = found.get();
		if (owner.attemptId().equals(attempt.attemptId())) {
			takeOwnership(attempt, nowMs, deferred);
		}
		else if (owner.outcome().isPresent() || !owner.digest().equals(attempt.claim.digest())) {
			deferred.complete(attempt.future,
					ClaimRefusals.finishedOrConflict(attempt, owner, owner.outcome().orElse(null)));
			end(attempt, State.RELEASED, deferred);
		}
		else if (!owner.incarnation().equals(this.identity.incarnation())
				&& !owner.attemptId().equals(attempt.queriedAttemptId)) {
			attempt.queriedAttemptId = owner.attemptId();
			long waitMs = Math.max(0, attempt.deadline.remainingMs(nowMs) - 100);
			deferred.add(() -> this.actions.queryOwner(attempt, owner, waitMs));
		}
	}

	private void takeOwnership(ClaimAttempt attempt, long nowMs, DeferredActions deferred) {
		long holdMs = this.holdUntilMs.getOrDefault(attempt.key(), nowMs) - nowMs;
		if (holdMs > 0) {
			deferred.schedule(holdMs, () -> this.actions.holdExpired(attempt));
		}
		else if (this.ledger.isComplete() && !attempt.deadline.isPassed(nowMs)) {
			attempt.state = State.OWNED;
			deferred.complete(attempt.future, new ClaimService.Result.Owned(this.actions.createHandle(attempt)));
		}
	}

	private void abandon(ClaimAttempt attempt, long nowMs, DeferredActions deferred) {
		attempt.state = State.ABANDONED;
		cancelClaim(attempt);
		long waitMs = Math.min(RESOLVE_TIMEOUT_MS, attempt.deadline.remainingMs(nowMs)) * 3 / 4;
		deferred.schedule(attempt.deadline.remainingMs(nowMs) - 10, () -> this.actions.membersTimedOut(attempt));
		deferred.add(() -> this.actions.queryMembers(attempt, waitMs));
	}

	private void refuse(ClaimAttempt attempt, FulmargapException failure, DeferredActions deferred) {
		ClaimService.Result refused = new ClaimService.Result.Refused(failure);
		deferred.complete(attempt.future, refused);
		attempt.joiners.forEach((joiner) -> deferred.complete(joiner.future(), refused));
		attempt.joiners.clear();
		end(attempt, State.RELEASED, deferred);
	}

	private void end(ClaimAttempt attempt, State state, DeferredActions deferred) {
		if (attempt.state != State.ABANDONED) {
			cancelClaim(attempt);
		}
		attempt.state = state;
		this.attempts.remove(attempt.key(), attempt);
		attempt.outcomeWaiters.forEach((waiter) -> deferred.complete(waiter, Optional.empty()));
		List<ClaimAttempt.Joiner> joiners = new ArrayList<>(attempt.joiners);
		attempt.joiners.clear();
		joiners.forEach((joiner) -> deferred.add(() -> this.actions.resubmit(attempt.claim, joiner)));
	}

	private void cancelClaim(ClaimAttempt attempt) {
		if (attempt.queued && this.queue.remove(attempt.claim)) {
			this.queue.add(new ClaimRecord.Release(attempt.key(), attempt.attemptId()));
		}
	}

	private boolean hasOutcomeOrForeignClaim(ClaimKey key) {
		return this.ledger.claims(key)
			.stream()
			.anyMatch(
					(claim) -> claim.outcome().isPresent() || !claim.incarnation().equals(this.identity.incarnation()));
	}

	private void recordEvent(ClaimEvent event) {
		this.events.recordEvent("claims", event.type(), event.type().isViolation(), event.type().isRoutine(),
				"offset " + event.offset() + ": " + event.detail());
	}

}
