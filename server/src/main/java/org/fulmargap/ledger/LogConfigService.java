package org.fulmargap.ledger;

import java.io.IOException;
import java.net.ConnectException;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import org.fulmargap.config.ConfigRecord;
import org.fulmargap.config.ConfigState;
import org.fulmargap.config.Member;
import org.fulmargap.config.OrderRegister;
import org.fulmargap.config.PatchDecision;

/**
 * Agrees with the other entry VMs on the configuration, through the configuration stream
 * of the platform's log. Only the thread that calls {@link #poll()} calls the log.
 */
public final class LogConfigService implements ConfigService, MemberDirectory, AutoCloseable {

	/** The name of the stream. */
	public static final String STREAM = "config";

	/**
	 * The time in milliseconds since the last complete read of the stream after which a
	 * pending patch may have been decided without this entry VM. Ten poll intervals, so
	 * that one slow response does not count.
	 */
	private static final long IN_DOUBT_AFTER_MS = 1_000;

	private static final int MAX_APPENDS_PER_POLL = 16;

	private final PlatformLog log;

	private final LongSupplier clock;

	private final TimerQueue timers;

	private final PlatformEvents events;

	private final ConfigTable table;

	private final LogTailer tailer;

	private final PollThread thread;

	private final List<Consumer<ConfigState>> listeners = new CopyOnWriteArrayList<>();

	private ConfigState notified;

	/**
	 * Creates a service. It does nothing until {@link #start()}.
	 * @param log the log
	 * @param identity the identity of this process
	 * @param settings the settings
	 * @param clock the time source, milliseconds since the epoch
	 * @param timers runs tasks after a delay
	 * @param metrics the registry for counters
	 */
	public LogConfigService(PlatformLog log, ServiceIdentity identity, ConfigSettings settings, LongSupplier clock,
			TimerQueue timers, MetricRegistry metrics) {
		this.log = Objects.requireNonNull(log, "log");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.timers = Objects.requireNonNull(timers, "timers");
		this.events = new PlatformEvents(metrics);
		this.table = new ConfigTable(identity, settings, this.events);
		this.tailer = new LogTailer(log, STREAM, new PageReader());
		this.thread = new PollThread("config-log", clock, this::poll);
	}

	/**
	 * Starts to follow the stream and joins the members.
	 */
	public void start() {
		this.thread.start();
	}

	@Override
	public View current() {
		long nowMs = this.clock.getAsLong();
		return this.table.view(nowMs, isLogUnresponsive(nowMs));
	}

	@Override
	public CompletableFuture<Decision> patch(String patchId, long expectedVersion, JsonNode mergePatch) {
		long nowMs = this.clock.getAsLong();
		PatchProposal proposal = new PatchProposal(
				new ConfigRecord.Propose(patchId, expectedVersion, mergePatch.deepCopy(), nowMs));
		this.table.propose(proposal, !isLogUnresponsive(nowMs)).apply(this.timers);
		this.thread.wake();
		return proposal.future;
	}

	/**
	 * Returns the decision about a patch.
	 * @param patchId the identity of the patch
	 * @return the decision, or empty if the patch is pending or unknown, or its decision
	 * is no longer retained
	 */
	public Optional<PatchDecision> decision(String patchId) {
		return state().decision(patchId);
	}

	/**
	 * Returns the state in force: members, orders, pending patch and decisions.
	 * @return an immutable state
	 */
	public ConfigState state() {
		return this.table.state();
	}

	/**
	 * Returns the members.
	 * @return the members in the order of their names
	 */
	public Collection<Member> members() {
		return state().members().values();
	}

	@Override
	public Collection<String> vms() {
		return state().members().keySet();
	}

	@Override
	public long lastRemovalAtMs() {
		return this.table.lastRemovalAtMs();
	}

	/**
	 * Returns whether this incarnation is a member.
	 * @return {@code true} if its join was applied and it was not removed since
	 */
	public boolean isMember() {
		return this.table.isMember();
	}

	/**
	 * Returns whether the stream could not be read to its end for a while.
	 * @return {@code true} if the last complete read began more than 1 s ago, or if there
	 * was none
	 */
	public boolean isLogUnresponsive() {
		return isLogUnresponsive(this.clock.getAsLong());
	}

	/**
	 * Registers a listener that is called with each new state, from the thread that reads
	 * the log or calls {@link #installCopy}.
	 * @param listener the listener; it must not block
	 */
	public void onChange(Consumer<ConfigState> listener) {
		this.listeners.add(Objects.requireNonNull(listener, "listener"));
	}

	/**
	 * Appends an administrative order as soon as the log is available, unless the state
	 * already contains this order or a later one for the same target.
	 * @param order the order
	 */
	public void append(OrderRegister order) {
		this.table.request(new ConfigRecord.Order(order));
		this.thread.wake();
	}

	/**
	 * Appends the eviction of a member as soon as the log is available.
	 * @param vm the name of the entry VM
	 * @param incarnation the incarnation to remove
	 * @param reason a human-readable reason
	 */
	public void evict(String vm, String incarnation, String reason) {
		this.table.request(new ConfigRecord.Evict(vm, incarnation, reason));
		this.thread.wake();
	}

	/**
	 * Ends the membership at a graceful shutdown. The record is appended as soon as the
	 * log is available; {@link #isMember()} returns {@code false} once it was applied.
	 */
	public void leave() {
		this.table.leave();
		this.thread.wake();
	}

	/**
	 * Returns a snapshot of the state for a peer.
	 * @return the snapshot as JSON, or empty if this entry VM has no current state
	 */
	public Optional<JsonNode> exportCopy() {
		return this.table.export().map(ConfigRecord::toJson);
	}

	/**
	 * Installs a snapshot from a peer if it is newer than the state of this entry VM.
	 * @param copy the snapshot that {@link #exportCopy()} returned at the peer
	 * @return {@code true} if the snapshot was installed
	 */
	public boolean installCopy(JsonNode copy) {
		try {
			boolean installed = ConfigRecord.fromJson(copy) instanceof ConfigRecord.Snapshot snapshot
					&& this.table.install(snapshot, this.clock.getAsLong());
			if (installed) {
				notifyListeners();
			}
			return installed;
		}
		catch (JsonProcessingException ex) {
			this.events.recordLogFailure(STREAM, "install_copy", ex);
			return false;
		}
	}

	/**
	 * Records the version that a peer reported. If this entry VM stays below it, its
	 * configuration does not count as known.
	 * @param version the version of the peer
	 */
	public void recordPeerVersion(long version) {
		this.table.recordPeerVersion(version);
	}

	@Override
	public void close() {
		this.thread.close();
	}

	/**
	 * Makes the calls to the log that are due and completes proposals.
	 * @return when the next call is due, milliseconds since the epoch
	 */
	long poll() {
		long nowMs = this.clock.getAsLong();
		if (nowMs >= this.tailer.nextPollAtMs()) {
			readToEnd(nowMs);
		}
		for (int i = 0; i < MAX_APPENDS_PER_POLL && !this.tailer.isFailing(); i++) {
			Optional<ConfigRecord> record = this.table.nextRecord(this.clock.getAsLong());
			if (record.isEmpty() || !append(record.get())) {
				break;
			}
		}
		this.table.completeProposals(this.clock.getAsLong()).apply(this.timers);
		return this.tailer.nextPollAtMs();
	}

	private boolean append(ConfigRecord record) {
		if (!this.table.beginAppend(record)) {
			return false;
		}
		try {
			this.log.append(STREAM, record.toJson());
			this.table.markAppended(record);
		}
		catch (ConnectException ex) {
			this.table.markNotSent(record);
			return appendFailed(ex);
		}
		catch (IOException ex) {
			return appendFailed(ex);
		}
		return readToEnd(this.clock.getAsLong());
	}

	private boolean appendFailed(IOException failure) {
		this.events.recordLogFailure(STREAM, "append", failure);
		this.tailer.backOff(this.clock.getAsLong());
		return false;
	}

	private boolean readToEnd(long nowMs) {
		try {
			this.tailer.readToEnd(nowMs);
			DeferredActions answers = this.table.reachedEnd(nowMs);
			// The listeners know a version before the caller of its patch gets an answer.
			notifyListeners();
			answers.apply(this.timers);
			return true;
		}
		catch (IOException ex) {
			this.events.recordLogFailure(STREAM, "read", ex);
			return false;
		}
	}

	private void notifyListeners() {
		ConfigState state = state();
		if (!state.equals(this.notified)) {
			this.notified = state;
			this.listeners.forEach((listener) -> listener.accept(state));
		}
	}

	private boolean isLogUnresponsive(long nowMs) {
		long reached = this.tailer.reachedEndAtMs();
		return reached == Long.MIN_VALUE || nowMs - reached > IN_DOUBT_AFTER_MS;
	}

	/**
	 * Passes the pages of the stream to the table.
	 */
	private final class PageReader implements LogTailer.Reader {

		@Override
		public long nextOffset() {
			return LogConfigService.this.table.nextOffset();
		}

		@Override
		public void read(LogPage page, long nowMs) {
			LogConfigService.this.table.read(page, nowMs);
		}

	}

}
