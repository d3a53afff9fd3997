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
 * Claims keys through the claims stream of the platform's log. Only the thread that calls
 * {@link #poll()} calls the log, with at most one append in flight.
 */
public final class LogClaimService implements ClaimService, AutoCloseable {

	/** The name of the stream. */
	public static final String STREAM = "claims";

	private static final long MIN_APPEND_INTERVAL_MS = 5;

	/**
	 * The maximum number of appends per second of all members together. The log accepts
	 * several hundred per second and also serves the configuration stream and other
	 * clients.
	 */
	private static final long APPENDS_PER_SECOND = 200;

	/**
	 * The interval in milliseconds between checks for due checkpoints, and how much
	 * longer each member waits than the member before it until it appends them.
	 */
	private static final long CHECKPOINT_INTERVAL_MS = 500;

	private static final long EXPIRY_INTERVAL_MS = 10_000;

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
	 * @param peers supplies the connections to the other entry VMs; called for each query
	 * @param members the entry VMs that may hold claims
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
		this.table = new ClaimTable(identity, keyLifetimeMs, new TableActions(), this.queue, this.events);
		this.tailer = new LogTailer(log, STREAM, new PageReader());
		this.thread = new PollThread("claims-log", clock, this::poll);
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
	 * Answers the query of a peer whether the request of a key may have run. An attempt
	 * of this entry VM that was not dispatched is abandoned first.
	 * @param key the key
	 * @return the state of the key; also {@code DISPATCHED} if the ledger is incomplete
	 * or holds an outcome or a claim of another incarnation
	 */
	public PeerNetwork.KeyState answerKeyQuery(ClaimKey key) {
		CompletableFuture<PeerNetwork.KeyState> reply = new CompletableFuture<>();
		apply(this.table.keyQuery(key, this.clock.getAsLong(), reply));
		return reply.join();
	}

	/**
	 * Answers the query of a peer for the outcome of a request of this entry VM.
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
	 * Returns whether the ownership of keys can be decided.
	 * @return {@code true} if the ledger holds every live claim
	 */
	public boolean isComplete() {
		return this.table.isComplete();
	}

	/**
	 * Returns whether every record of this entry VM was appended.
	 * @return {@code true} if no record is waiting to be appended
	 */
	public boolean isFlushed() {
		return this.queue.isEmpty();
	}

	/**
	 * Makes the calls to the log that are due: an append followed by a read, or a read
	 * only. Also expires claims and queues checkpoints.
	 * @return when the next call is due, milliseconds since the epoch
	 */
	long poll() {
		long nowMs = this.clock.getAsLong();
		if (!this.queue.isEmpty() && !this.tailer.isFailing() && nowMs >= this.nextAppendAtMs) {
			append(nowMs);
		}
		else if (nowMs >= this.tailer.nextPollAtMs()) {
			readToEnd(nowMs);
		}
		if (nowMs >= this.nextExpiryAtMs) {
			this.table.expire(nowMs);
			this.nextExpiryAtMs = nowMs + EXPIRY_INTERVAL_MS;
		}
		if (nowMs >= this.nextCheckpointAtMs) {
			planCheckpoints(nowMs);
			this.nextCheckpointAtMs = nowMs + CHECKPOINT_INTERVAL_MS;
		}
		boolean appendPending = !this.queue.isEmpty() && !this.tailer.isFailing();
		return appendPending ? Math.min(this.nextAppendAtMs, this.tailer.nextPollAtMs()) : this.tailer.nextPollAtMs();
	}

	@Override
	public void close() {
		this.thread.close();
	}

	private void append(long nowMs) {
		List<ClaimRecord> batch = this.queue.takeBatch();
		this.nextAppendAtMs = nowMs + appendIntervalMs();
		try {
			this.log.append(STREAM, ClaimBatch.toJson(batch));
			this.queue.confirm(batch);
			this.events.count("claims.appends");
		}
		catch (IOException ex) {
			this.events.recordLogFailure(STREAM, "append", ex);
			this.tailer.backOff(nowMs);
			this.queue.removeCheckpoints();
			return;
		}
		readToEnd(this.clock.getAsLong());
	}

	private void readToEnd(long nowMs) {
		try {
			this.tailer.readToEnd(nowMs);
			apply(this.table.reachedEnd(nowMs));
		}
		catch (IOException ex) {
			this.events.recordLogFailure(STREAM, "read", ex);
		}
	}

	private void planCheckpoints(long nowMs) {
		// Each member waits longer than the member before it, so that usually only one
		// appends the checkpoints.
		int rank = new TreeSet<>(this.members.vms()).headSet(this.identity.vm()).size();
		boolean appendNow = this.checkpointDueSinceMs >= 0
				&& nowMs - this.checkpointDueSinceMs >= rank * CHECKPOINT_INTERVAL_MS;
		if (!this.table.planCheckpoints(appendNow)) {
			this.checkpointDueSinceMs = -1;
		}
		else if (this.checkpointDueSinceMs < 0) {
			this.checkpointDueSinceMs = nowMs;
		}
	}

	private long appendIntervalMs() {
		return Math.max(MIN_APPEND_INTERVAL_MS, this.members.vms().size() * 1000L / APPENDS_PER_SECOND);
	}

	private void apply(DeferredActions deferred) {
		deferred.apply(this.timers);
	}

	private boolean allReportNotRun(Collection<String> queried, Map<String, PeerNetwork.KeyState> replies) {
		// Claims of a removed member can be found only in the stream, which must have
		// been read to the end since the removal.
		return this.members.lastRemovalAtMs() < this.tailer.reachedEndAtMs()
				&& this.members.vms().contains(this.identity.vm())
				&& queried.stream().allMatch((vm) -> replies.containsKey(vm) && replies.get(vm).isNotRun());
	}

	/**
	 * Passes the pages of the stream to the table.
	 */
	private final class PageReader implements LogTailer.Reader {

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
	 * Executes the actions of the table.
	 */
	private final class TableActions implements ClaimActions {

		@Override
		public void resolve(ClaimAttempt attempt) {
			apply(LogClaimService.this.table.resolve(attempt, now()));
		}

		@Override
		public void timeOut(ClaimAttempt attempt) {
			apply(LogClaimService.this.table.timeOut(attempt));
		}

		@Override
		public void holdExpired(ClaimAttempt attempt) {
			apply(LogClaimService.this.table.holdExpired(attempt, now()));
		}

		@Override
		public void ownerTimedOut(ClaimAttempt attempt, String ownerAttemptId) {
			apply(LogClaimService.this.table.ownerTimedOut(attempt, ownerAttemptId));
		}

		@Override
		public void queryOwner(ClaimAttempt attempt, ClaimView owner, long waitMs) {
			LogClaimService.this.peers.get()
				.queryOutcome(owner.incarnation(), attempt.key(), waitMs)
				.thenAccept((outcome) -> apply(
						LogClaimService.this.table.ownerReplied(attempt, owner.attemptId(), outcome)));
		}

		@Override
		public void queryMembers(ClaimAttempt attempt, long waitMs) {
			List<String> others = LogClaimService.this.members.vms()
				.stream()
				.filter((vm) -> !vm.equals(LogClaimService.this.identity.vm()))
				.toList();
			long startedAtMs = now();
			LogClaimService.this.peers.get().queryKey(others, attempt.key(), waitMs).thenAccept((replies) -> {
				boolean inTime = now() - startedAtMs <= ClaimTable.RESOLVE_TIMEOUT_MS;
				apply(LogClaimService.this.table.finishAbandoned(attempt, inTime && allReportNotRun(others, replies)));
			});
		}

		@Override
		public void membersTimedOut(ClaimAttempt attempt) {
			apply(LogClaimService.this.table.finishAbandoned(attempt, false));
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
		public Handle createHandle(ClaimAttempt attempt) {
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
