package org.fulmargap.ledger;

import java.io.IOException;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import org.fulmargap.claim.ClaimBatch;
import org.fulmargap.claim.ClaimKey;
import org.fulmargap.claim.ClaimRecord;
import org.fulmargap.claim.ClaimView;
import org.fulmargap.claim.RecordedOutcome;
import org.fulmargap.peer.PeerNetwork;
import org.fulmargap.request.Deadline;

/**
 * Claims keys through the claims stream of the platform's log. One thread, the caller of
 * {@link #pump()}, talks to the log; it has at most one append in flight.
 */
public final class LogClaimService implements ClaimService, AutoCloseable {

	/** The name of the stream. */
	public static final String STREAM = "claims";

	private static final long MIN_SPACING_MS = 5;

	/**
	 * Appends per second of all members together. The log takes several hundred a second,
	 * and the configuration stream and other users of the log need some of them.
	 */
	private static final long APPENDS_PER_SECOND = 200;

	/** How often the need for checkpoints is checked, and the delay between members. */
	private static final long CHECKPOINT_EVERY_MS = 500;

	private static final long EXPIRE_EVERY_MS = 10_000;

	private final PlatformLog log;

	private final Supplier<PeerNetwork> peers;

	private final MemberDirectory members;

	private final ServiceIdentity identity;

	private final LongSupplier clock;

	private final TimerQueue timers;

	private final PlatformEvents events;

	private final AppendQueue queue = new AppendQueue();

	private final ClaimTable table;

	private final LogTailer tailer;

	private final PollThread thread;

	private long nextAppendAtMs;

	private long nextExpiryAtMs;

	private long nextCheckpointAtMs;

	private long checkpointDueSinceMs = -1;

	/**
	 * Creates a service. It does nothing until {@link #start()}.
	 * @param log the log
	 * @param peers the connections to the other entry VMs; asked for at each use
	 * @param members the members
	 * @param identity the identity of this process
	 * @param keyLifetimeMs how long a key is remembered, in milliseconds
	 * @param clock the time source, milliseconds since the epoch
	 * @param timers runs tasks after a delay
	 * @param metrics the registry for counters
	 */
	public LogClaimService(PlatformLog log, Supplier<PeerNetwork> peers, MemberDirectory members,
			ServiceIdentity identity, long keyLifetimeMs, LongSupplier clock, TimerQueue timers,
			MetricRegistry metrics) {
		this.log = Objects.requireNonNull(log, "log");
		this.peers = Objects.requireNonNull(peers, "peers");
		this.members = Objects.requireNonNull(members, "members");
		this.identity = Objects.requireNonNull(identity, "identity");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.timers = Objects.requireNonNull(timers, "timers");
		this.events = new PlatformEvents(metrics);
		this.table = new ClaimTable(identity, keyLifetimeMs, new Calls(), this.queue, this.events);
		this.tailer = new LogTailer(log, STREAM, new Pages());
		this.thread = new PollThread("claims-log", clock, this::pump);
	}

	/**
	 * Starts to follow the stream.
	 */
	public void start() {
		this.thread.start();
	}

	@Override
	public CompletableFuture<Result> claim(ClaimKey key, String digest, String attemptId, Deadline deadline) {
		long nowMs = this.clock.getAsLong();
		ClaimRecord.Claim claim = new ClaimRecord.Claim(key, digest, attemptId, this.identity.incarnation(), nowMs);
		ClaimAttempt attempt = new ClaimAttempt(claim, deadline);
		apply(this.table.claim(attempt, nowMs));
		this.thread.wake();
		return attempt.future;
	}

	/**
	 * Answers a peer that asks whether a key may have run here. An attempt that was not
	 * dispatched is abandoned first.
	 * @param key the key
	 * @return the answer; {@code DISPATCHED} also if this entry VM cannot rule out that
	 * the request ran
	 */
	public PeerNetwork.KeyState answerKeyQuery(ClaimKey key) {
		CompletableFuture<PeerNetwork.KeyState> reply = new CompletableFuture<>();
		apply(this.table.keyQuery(key, this.clock.getAsLong(), reply));
		return reply.join();
	}

	/**
	 * Answers a peer that asks for the outcome of a request that runs here.
	 * @param key the key
	 * @param waitMs the longest wait in milliseconds
	 * @return a future with the outcome, or empty if none is known after the wait
	 */
	public CompletableFuture<Optional<RecordedOutcome>> answerOutcomeQuery(ClaimKey key, long waitMs) {
		CompletableFuture<Optional<RecordedOutcome>> reply = new CompletableFuture<>();
		apply(this.table.outcomeQuery(key, waitMs, reply));
		return reply;
	}

	/**
	 * Tells whether claims can be decided.
	 * @return {@code true} if the ledger holds every live claim
	 */
	public boolean isComplete() {
		return this.table.isComplete();
	}

	/**
	 * Tells whether every record of this entry VM has reached the log.
	 * @return {@code true} if nothing waits to be appended
	 */
	public boolean isFlushed() {
		return this.queue.isEmpty();
	}

	/**
	 * Does the work with the log that is due: at most one append and a read.
	 * @return when the next call is due, milliseconds since the epoch
	 */
	long pump() {
		long nowMs = this.clock.getAsLong();
		if (!this.queue.isEmpty() && !this.tailer.isFailing() && nowMs >= this.nextAppendAtMs) {
			append(nowMs);
		}
		else if (nowMs >= this.tailer.nextPollAtMs()) {
			readOn(nowMs);
		}
		if (nowMs >= this.nextExpiryAtMs) {
			this.table.expire(nowMs);
			this.nextExpiryAtMs = nowMs + EXPIRE_EVERY_MS;
		}
		if (nowMs >= this.nextCheckpointAtMs) {
			planCheckpoints(nowMs);
			this.nextCheckpointAtMs = nowMs + CHECKPOINT_EVERY_MS;
		}
		boolean appendWaits = !this.queue.isEmpty() && !this.tailer.isFailing();
		return appendWaits ? Math.min(this.nextAppendAtMs, this.tailer.nextPollAtMs()) : this.tailer.nextPollAtMs();
	}

	@Override
	public void close() {
		this.thread.close();
	}

	private void append(long nowMs) {
		List<ClaimRecord> batch = this.queue.takeBatch();
		this.nextAppendAtMs = nowMs + spacingMs();
		try {
			this.log.append(STREAM, ClaimBatch.toJson(batch));
			this.queue.confirm(batch);
			this.events.count("claims.appends");
		}
		catch (IOException ex) {
			this.events.logFailed(STREAM, "append", ex);
			this.tailer.noteFailure(nowMs);
			this.queue.removeCheckpoints();
			return;
		}
		readOn(this.clock.getAsLong());
	}

	private void readOn(long nowMs) {
		try {
			this.tailer.readOn(nowMs);
			apply(this.table.reachedEnd(nowMs));
		}
		catch (IOException ex) {
			this.events.logFailed(STREAM, "read", ex);
		}
	}

	private void planCheckpoints(long nowMs) {
		// Each member waits longer than the one before it, so that usually one writes.
		int rank = new TreeSet<>(this.members.vms()).headSet(this.identity.vm()).size();
		boolean turn = this.checkpointDueSinceMs >= 0
				&& nowMs - this.checkpointDueSinceMs >= rank * CHECKPOINT_EVERY_MS;
		if (!this.table.planCheckpoints(turn)) {
			this.checkpointDueSinceMs = -1;
		}
		else if (this.checkpointDueSinceMs < 0) {
			this.checkpointDueSinceMs = nowMs;
		}
	}

	private long spacingMs() {
		return Math.max(MIN_SPACING_MS, this.members.vms().size() * 1000L / APPENDS_PER_SECOND);
	}

	private void apply(DeferredActions effects) {
		effects.apply(this.timers);
	}

	private boolean allDeny(Collection<String> asked, Map<String, PeerNetwork.KeyState> replies) {
		// Claims of a member that has gone can only be found in the stream, so it must
		// have been read to its end since.
		return this.members.lastRemovalAtMs() < this.tailer.reachedEndAtMs()
				&& this.members.vms().contains(this.identity.vm())
				&& asked.stream().allMatch((vm) -> replies.containsKey(vm) && replies.get(vm).isNotRun());
	}

	/**
	 * Passes pages to the table.
	 */
	private final class Pages implements LogTailer.Reader {

		@Override
		public long nextOffset() {
			return LogClaimService.this.table.nextOffset();
		}

		@Override
		public void read(LogPage page, long nowMs) {
			apply(LogClaimService.this.table.read(page, nowMs));
		}

	}

	/**
	 * Calls from the table to the surroundings.
	 */
	private final class Calls implements ClaimActions {

		@Override
		public void resolve(ClaimAttempt attempt) {
			apply(LogClaimService.this.table.resolve(attempt, now()));
		}

		@Override
		public void giveUp(ClaimAttempt attempt) {
			apply(LogClaimService.this.table.giveUp(attempt));
		}

		@Override
		public void holdEnded(ClaimAttempt attempt) {
			apply(LogClaimService.this.table.holdEnded(attempt, now()));
		}

		@Override
		public void ownerSilent(ClaimAttempt attempt, String ownerAttemptId) {
			apply(LogClaimService.this.table.ownerSilent(attempt, ownerAttemptId));
		}

		@Override
		public void askOwner(ClaimAttempt attempt, ClaimView owner, long waitMs) {
			LogClaimService.this.peers.get()
				.queryOutcome(owner.incarnation(), attempt.key(), waitMs)
				.thenAccept((outcome) -> apply(
						LogClaimService.this.table.ownerReplied(attempt, owner.attemptId(), outcome)));
		}

		@Override
		public void askMembers(ClaimAttempt attempt, long waitMs) {
			List<String> others = LogClaimService.this.members.vms()
				.stream()
				.filter((vm) -> !vm.equals(LogClaimService.this.identity.vm()))
				.toList();
			long startedAtMs = now();
			LogClaimService.this.peers.get().queryKey(others, attempt.key(), waitMs).thenAccept((replies) -> {
				boolean inTime = now() - startedAtMs <= ClaimTable.RESOLVE_MS;
				apply(LogClaimService.this.table.resolved(attempt, inTime && allDeny(others, replies)));
			});
		}

		@Override
		public void membersSilent(ClaimAttempt attempt) {
			apply(LogClaimService.this.table.resolved(attempt, false));
		}

		@Override
		public void resubmit(ClaimRecord.Claim claim, ClaimAttempt.Joiner joiner) {
			claim(claim.key(), claim.digest(), joiner.attemptId(), joiner.deadline()).thenAccept((result) -> {
				if (!joiner.future().complete(result) && result instanceof Result.Owned owned) {
					owned.handle().release();
				}
			});
		}

		@Override
		public Handle handle(ClaimAttempt attempt) {
			return new AttemptHandle(attempt);
		}

		private long now() {
			return LogClaimService.this.clock.getAsLong();
		}

	}

	/**
	 * Controls one attempt.
	 */
	private final class AttemptHandle implements Handle {

		private final ClaimAttempt attempt;

		AttemptHandle(ClaimAttempt attempt) {
			this.attempt = attempt;
		}

		@Override
		public boolean markDispatched(long nowMs) {
			return LogClaimService.this.table.markDispatched(this.attempt, nowMs);
		}

		@Override
		public void complete(RecordedOutcome outcome) {
			apply(LogClaimService.this.table.complete(this.attempt, outcome));
			LogClaimService.this.thread.wake();
		}

		@Override
		public void release() {
			apply(LogClaimService.this.table.release(this.attempt));
			LogClaimService.this.thread.wake();
		}

	}

}
