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
 * The claims of one entry VM: its ledger, its own attempts and what it still has to
 * append. Every method takes the lock of the instance; effects outside of it (completed
 * futures, peer queries, timers) are returned and run by the caller without the lock.
 */
final class ClaimTable {

	/**
	 * The longest time for the peer queries at the end of a log outage. A member that
	 * answered does not dispatch the key within this time, so that "not run" is still
	 * true when the answer is given.
	 */
	static final long RESOLVE_MS = 400;

	/** The number of checkpoints per append; each may carry a result of 16 KiB. */
	private static final int MAX_CHECKPOINTS = 256;

	private final ServiceIdentity identity;

	private final long keyLifetimeMs;

	private final ClaimActions outside;

	private final PlatformEvents events;

	private final ClaimLedger ledger;

	private final Map<ClaimKey, ClaimAttempt> attempts = new HashMap<>();

	private final Map<ClaimKey, Long> holdUntilMs = new HashMap<>();

	private final AppendQueue queue;

	ClaimTable(ServiceIdentity identity, long keyLifetimeMs, ClaimActions outside, AppendQueue queue,
			PlatformEvents events) {
		this.identity = identity;
		this.keyLifetimeMs = keyLifetimeMs;
		this.outside = outside;
		this.queue = queue;
		this.events = events;
		this.ledger = new ClaimLedger(keyLifetimeMs);
	}

	synchronized DeferredActions claim(ClaimAttempt attempt, long nowMs) {
		DeferredActions effects = new DeferredActions();
		ClaimKey key = attempt.key();
		ClaimAttempt running = this.attempts.get(key);
		if (running != null) {
			join(running, attempt, nowMs, effects);
			return effects;
		}
		Optional<ClaimView> owner = this.ledger.owner(key);
		if (owner.isPresent() && owner.get().outcome().isPresent()) {
			effects.complete(attempt.future, ClaimRefusals.answer(attempt, owner.get(), owner.get().outcome().get()));
			return effects;
		}
		this.attempts.put(key, attempt);
		enqueue(attempt);
		long resolveMs = Math.min(RESOLVE_MS, attempt.deadline.remainingMs(nowMs) / 3);
		effects.after(attempt.deadline.remainingMs(nowMs) - resolveMs, () -> this.outside.resolve(attempt));
		considerOwner(attempt, nowMs, effects);
		return effects;
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
		DeferredActions effects = new DeferredActions();
		if (attempt.state != State.DISPATCHED) {
			this.events.violation("claims", "OUTCOME_WITHOUT_DISPATCH", attempt.attemptId() + " " + attempt.state);
			return effects;
		}
		attempt.state = State.FINISHED;
		attempt.outcome = outcome;
		this.queue.add(new ClaimRecord.Outcome(attempt.key(), attempt.attemptId(), outcome.toRecord()));
		for (ClaimAttempt.Joiner joiner : attempt.joiners) {
			effects.complete(joiner.future(), new ClaimService.Result.Finished(outcome));
		}
		attempt.outcomeWaiters.forEach((waiter) -> effects.complete(waiter, Optional.of(outcome)));
		return effects;
	}

	synchronized DeferredActions release(ClaimAttempt attempt) {
		DeferredActions effects = new DeferredActions();
		if (attempt.state == State.OWNED || attempt.state == State.DISPATCHED) {
			end(attempt, State.RELEASED, effects);
		}
		return effects;
	}

	// Decides about an attempt whose time is nearly over.
	synchronized DeferredActions resolve(ClaimAttempt attempt, long nowMs) {
		DeferredActions effects = new DeferredActions();
		if (attempt.state != State.WAITING) {
			return effects;
		}
		if (isClaimedElsewhere(attempt.key())) {
			effects.after(Math.max(0, attempt.deadline.remainingMs(nowMs) - 20), () -> this.outside.giveUp(attempt));
		}
		else {
			abandon(attempt, nowMs, effects);
		}
		return effects;
	}

	synchronized DeferredActions giveUp(ClaimAttempt attempt) {
		DeferredActions effects = new DeferredActions();
		if (attempt.state == State.WAITING) {
			refuse(attempt, ClaimRefusals.outcomeUnknown("OWNER_RUNNING", "another attempt of the key runs"), effects);
		}
		return effects;
	}

	synchronized DeferredActions ownerReplied(ClaimAttempt attempt, String ownerAttemptId,
			Optional<RecordedOutcome> outcome) {
		DeferredActions effects = new DeferredActions();
		if (attempt.state != State.WAITING) {
			return effects;
		}
		if (outcome.isPresent()) {
			effects.complete(attempt.future, new ClaimService.Result.Finished(outcome.get()));
			end(attempt, State.RELEASED, effects);
		}
		else {
			effects.after(RESOLVE_MS, () -> this.outside.ownerSilent(attempt, ownerAttemptId));
		}
		return effects;
	}

	// Ends the wait for an owner that did not answer a peer query, unless the stream
	// brought news in the meantime.
	synchronized DeferredActions ownerSilent(ClaimAttempt attempt, String ownerAttemptId) {
		DeferredActions effects = new DeferredActions();
		Optional<ClaimView> owner = this.ledger.owner(attempt.key());
		boolean unchanged = owner.isPresent() && owner.get().attemptId().equals(ownerAttemptId);
		if (attempt.state == State.WAITING && unchanged) {
			refuse(attempt, ClaimRefusals.outcomeUnknown("OWNER_UNREACHABLE", "the owner of the key does not answer"),
					effects);
		}
		return effects;
	}

	// Answers the caller of an abandoned attempt.
	synchronized DeferredActions resolved(ClaimAttempt attempt, boolean allDeny) {
		DeferredActions effects = new DeferredActions();
		if (attempt.state != State.ABANDONED) {
			return effects;
		}
		boolean notRun = allDeny && this.ledger.isComplete() && !isClaimedElsewhere(attempt.key());
		FulmargapException failure = notRun ? ClaimRefusals.notRun() : ClaimRefusals.outcomeUnknown("LOG_UNAVAILABLE",
				"the log is unavailable and an earlier attempt may have run");
		refuse(attempt, failure, effects);
		return effects;
	}

	// Answers a peer that asks whether the key may have run here, and abandons an attempt
	// that was not dispatched.
	synchronized DeferredActions keyQuery(ClaimKey key, long nowMs, CompletableFuture<PeerNetwork.KeyState> reply) {
		DeferredActions effects = new DeferredActions();
		this.holdUntilMs.put(key, nowMs + RESOLVE_MS);
		ClaimAttempt attempt = this.attempts.get(key);
		PeerNetwork.KeyState state = PeerNetwork.KeyState.NONE;
		if (attempt != null && attempt.state.mayHaveRun()) {
			state = PeerNetwork.KeyState.DISPATCHED;
		}
		else if (attempt != null) {
			state = PeerNetwork.KeyState.ABANDONED;
			if (attempt.state == State.WAITING) {
				abandon(attempt, nowMs, effects);
			}
			else if (attempt.state == State.OWNED) {
				end(attempt, State.ABANDONED, effects);
			}
		}
		if (!this.ledger.isComplete() || isClaimedElsewhere(key)) {
			state = PeerNetwork.KeyState.DISPATCHED;
		}
		PeerNetwork.KeyState answer = state;
		effects.complete(reply, answer);
		return effects;
	}

	synchronized DeferredActions outcomeQuery(ClaimKey key, long waitMs,
			CompletableFuture<Optional<RecordedOutcome>> reply) {
		DeferredActions effects = new DeferredActions();
		ClaimAttempt attempt = this.attempts.get(key);
		Optional<RecordedOutcome> recorded = this.ledger.owner(key).flatMap(ClaimView::outcome);
		if (attempt != null && attempt.outcome != null) {
			effects.complete(reply, Optional.of(attempt.outcome));
		}
		else if (recorded.isPresent() || attempt == null || waitMs <= 0) {
			effects.complete(reply, recorded);
		}
		else {
			attempt.outcomeWaiters.add(reply);
			effects.after(waitMs, () -> reply.complete(Optional.empty()));
		}
		return effects;
	}

	synchronized DeferredActions read(LogPage page, long nowMs) {
		DeferredActions effects = new DeferredActions();
		this.ledger.observeBounds(page.firstOffset(), page.nextOffset(), nowMs).forEach(this::note);
		for (LogPage.Entry entry : page.records()) {
			ClaimLedger.ApplyResult applied = this.ledger.apply(entry.offset(), entry.appendedAtMs(), entry.value(),
					nowMs);
			applied.events().forEach(this::note);
			for (ClaimKey key : applied.changed()) {
				ClaimAttempt attempt = this.attempts.get(key);
				if (attempt != null) {
					applied(attempt, nowMs, effects);
				}
			}
		}
		return effects;
	}

	synchronized DeferredActions reachedEnd(long nowMs) {
		DeferredActions effects = new DeferredActions();
		this.queue.removeSeen(this.ledger);
		if (this.ledger.tryComplete(nowMs)) {
			note(new ClaimEvent(ClaimEvent.Type.COMPLETE, this.ledger.nextOffset(), this.ledger.size() + " keys"));
			for (ClaimAttempt attempt : List.copyOf(this.attempts.values())) {
				if (attempt.state == State.WAITING) {
					enqueue(attempt);
					considerOwner(attempt, nowMs, effects);
				}
			}
		}
		return effects;
	}

	synchronized void expire(long nowMs) {
		this.ledger.expire(nowMs);
		this.holdUntilMs.values().removeIf((until) -> until < nowMs);
	}

	synchronized DeferredActions holdEnded(ClaimAttempt attempt, long nowMs) {
		DeferredActions effects = new DeferredActions();
		considerOwner(attempt, nowMs, effects);
		return effects;
	}

	// Queues the records that keep live claims readable despite retention.
	synchronized boolean planCheckpoints(boolean turn) {
		List<ClaimRecord> due = this.ledger.checkpointsDue(MAX_CHECKPOINTS);
		if (turn) {
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

	private void join(ClaimAttempt running, ClaimAttempt repeat, long nowMs, DeferredActions effects) {
		if (!running.claim.digest().equals(repeat.claim.digest())) {
			effects.complete(repeat.future, ClaimRefusals.conflict());
		}
		else if (running.outcome != null) {
			effects.complete(repeat.future, new ClaimService.Result.Finished(running.outcome));
		}
		else {
			running.joiners.add(new ClaimAttempt.Joiner(repeat.attemptId(), repeat.deadline, repeat.future));
			effects.after(Math.max(0, repeat.deadline.remainingMs(nowMs) - 20),
					() -> repeat.future.complete(new ClaimService.Result.Refused(ClaimRefusals
						.outcomeUnknown("STILL_RUNNING", "an earlier request with the same key is still running"))));
		}
	}

	private void applied(ClaimAttempt attempt, long nowMs, DeferredActions effects) {
		Optional<ClaimView> owner = this.ledger.owner(attempt.key());
		boolean own = owner.filter((view) -> view.attemptId().equals(attempt.attemptId())).isPresent();
		if (attempt.state == State.WAITING) {
			considerOwner(attempt, nowMs, effects);
		}
		else if (attempt.state == State.FINISHED && own && owner.get().outcome().isPresent()) {
			this.attempts.remove(attempt.key(), attempt);
		}
		else if (attempt.state.mayHaveRun() && !own && this.ledger.isComplete()
				&& nowMs - attempt.claim.claimedAtMs() < this.keyLifetimeMs / 2) {
			this.events.violation("claims", "DISPATCHED_WITHOUT_OWNERSHIP", attempt.attemptId() + " " + owner);
		}
	}

	private void considerOwner(ClaimAttempt attempt, long nowMs, DeferredActions effects) {
		Optional<ClaimView> found = this.ledger.owner(attempt.key());
		if (attempt.state != State.WAITING || found.isEmpty()) {
			return;
		}
		ClaimView owner = found.get();
		if (owner.attemptId().equals(attempt.attemptId())) {
			own(attempt, nowMs, effects);
		}
		else if (owner.outcome().isPresent() || !owner.digest().equals(attempt.claim.digest())) {
			effects.complete(attempt.future, ClaimRefusals.answer(attempt, owner, owner.outcome().orElse(null)));
			end(attempt, State.RELEASED, effects);
		}
		else if (!owner.incarnation().equals(this.identity.incarnation())
				&& !owner.attemptId().equals(attempt.askedAttemptId)) {
			attempt.askedAttemptId = owner.attemptId();
			long waitMs = Math.max(0, attempt.deadline.remainingMs(nowMs) - 100);
			effects.add(() -> this.outside.askOwner(attempt, owner, waitMs));
		}
	}

	private void own(ClaimAttempt attempt, long nowMs, DeferredActions effects) {
		long holdMs = this.holdUntilMs.getOrDefault(attempt.key(), nowMs) - nowMs;
		if (holdMs > 0) {
			effects.after(holdMs, () -> this.outside.holdEnded(attempt));
		}
		else if (this.ledger.isComplete() && !attempt.deadline.isPassed(nowMs)) {
			attempt.state = State.OWNED;
			effects.complete(attempt.future, new ClaimService.Result.Owned(this.outside.handle(attempt)));
		}
	}

	private void abandon(ClaimAttempt attempt, long nowMs, DeferredActions effects) {
		attempt.state = State.ABANDONED;
		withdraw(attempt);
		long waitMs = Math.min(RESOLVE_MS, attempt.deadline.remainingMs(nowMs)) * 3 / 4;
		effects.after(attempt.deadline.remainingMs(nowMs) - 10, () -> this.outside.membersSilent(attempt));
		effects.add(() -> this.outside.askMembers(attempt, waitMs));
	}

	private void refuse(ClaimAttempt attempt, FulmargapException failure, DeferredActions effects) {
		ClaimService.Result refused = new ClaimService.Result.Refused(failure);
		effects.complete(attempt.future, refused);
		attempt.joiners.forEach((joiner) -> effects.complete(joiner.future(), refused));
		attempt.joiners.clear();
		end(attempt, State.RELEASED, effects);
	}

	private void end(ClaimAttempt attempt, State state, DeferredActions effects) {
		if (attempt.state != State.ABANDONED) {
			withdraw(attempt);
		}
		attempt.state = state;
		this.attempts.remove(attempt.key(), attempt);
		attempt.outcomeWaiters.forEach((waiter) -> effects.complete(waiter, Optional.empty()));
		List<ClaimAttempt.Joiner> joiners = new ArrayList<>(attempt.joiners);
		attempt.joiners.clear();
		joiners.forEach((joiner) -> effects.add(() -> this.outside.resubmit(attempt.claim, joiner)));
	}

	private void withdraw(ClaimAttempt attempt) {
		if (attempt.queued && this.queue.remove(attempt.claim)) {
			this.queue.add(new ClaimRecord.Release(attempt.key(), attempt.attemptId()));
		}
	}

	private boolean isClaimedElsewhere(ClaimKey key) {
		return this.ledger.claims(key)
			.stream()
			.anyMatch(
					(claim) -> claim.outcome().isPresent() || !claim.incarnation().equals(this.identity.incarnation()));
	}

	private void note(ClaimEvent event) {
		this.events.note("claims", event.type(), event.type().isViolation(), event.type().isRoutine(),
				"offset " + event.offset() + ": " + event.detail());
	}

}
