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
 * Agrees on the configuration through the configuration stream of the platform's log. One
 * thread, the caller of {@link #pump()}, talks to the log.
 */
public final class LogConfigService implements ConfigService, MemberDirectory, AutoCloseable {

	/** The name of the stream. */
	public static final String STREAM = "config";

	/**
	 * The time without an answer of the log after which a pending patch may have been
	 * decided without this entry VM: ten poll intervals, so that a slow answer does not
	 * count.
	 */
	private static final long IN_DOUBT_AFTER_MS = 1_000;

	private static final int MAX_APPENDS_PER_PUMP = 16;

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
		this.tailer = new LogTailer(log, STREAM, new Pages());
		this.thread = new PollThread("config-log", clock, this::pump);
	}

	/**
	 * Starts to follow the stream and joins.
	 */
	public void start() {
		this.thread.start();
	}

	@Override
	public View current() {
		long nowMs = this.clock.getAsLong();
		return this.table.view(nowMs, isLogSilent(nowMs));
	}

	@Override
	public CompletableFuture<Decision> patch(String patchId, long expectedVersion, JsonNode mergePatch) {
		long nowMs = this.clock.getAsLong();
		PatchProposal proposal = new PatchProposal(
				new ConfigRecord.Propose(patchId, expectedVersion, mergePatch.deepCopy(), nowMs));
		this.table.propose(proposal, !isLogSilent(nowMs)).apply(this.timers);
		this.thread.wake();
		return proposal.future;
	}

	/**
	 * Finds the decision about a patch.
	 * @param patchId the identity of the patch
	 * @return the decision, or empty if the patch is pending, unknown or too old
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
	 * Tells whether this incarnation has joined.
	 * @return {@code true} if its join was applied
	 */
	public boolean isMember() {
		return this.table.isMember();
	}

	/**
	 * Tells whether the log has not answered for a while.
	 * @return {@code true} if the last successful read is too old
	 */
	public boolean isLogSilent() {
		return isLogSilent(this.clock.getAsLong());
	}

	/**
	 * Registers a listener that is called with each new state, from the thread that reads
	 * the log.
	 * @param listener the listener; it must not block
	 */
	public void onChange(Consumer<ConfigState> listener) {
		this.listeners.add(Objects.requireNonNull(listener, "listener"));
	}

	/**
	 * Appends an administrative order once the log can be reached, unless a later order
	 * for the same target is there already.
	 * @param order the order
	 */
	public void append(OrderRegister order) {
		this.table.want(new ConfigRecord.Order(order));
		this.thread.wake();
	}

	/**
	 * Appends the eviction of a member once the log can be reached.
	 * @param vm the name of the entry VM
	 * @param incarnation the incarnation to remove
	 * @param reason a text for people
	 */
	public void evict(String vm, String incarnation, String reason) {
		this.table.want(new ConfigRecord.Evict(vm, incarnation, reason));
		this.thread.wake();
	}

	/**
	 * Ends the membership at a graceful shutdown. The record is appended as soon as the
	 * log can be reached; {@link #isMember()} tells whether it was applied.
	 */
	public void leave() {
		this.table.leave();
		this.thread.wake();
	}

	/**
	 * Returns a copy of the state for a peer.
	 * @return the copy as JSON, or empty if this entry VM does not know a state
	 */
	public Optional<JsonNode> exportCopy() {
		return this.table.export().map(ConfigRecord::toJson);
	}

	/**
	 * Takes over a copy from a peer if it is newer than the own state.
	 * @param copy the copy that {@link #exportCopy()} returned at the peer
	 * @return whether the copy was taken over
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
			this.events.logFailed(STREAM, "install_copy", ex);
			return false;
		}
	}

	/**
	 * Notes the version that a peer reports. While it is higher than the own one, the
	 * configuration does not count as known.
	 * @param version the version of the peer
	 */
	public void notePeerVersion(long version) {
		this.table.notePeerVersion(version);
	}

	@Override
	public void close() {
		this.thread.close();
	}

	/**
	 * Does the work with the log that is due.
	 * @return when the next call is due, milliseconds since the epoch
	 */
	long pump() {
		long nowMs = this.clock.getAsLong();
		if (nowMs >= this.tailer.nextPollAtMs()) {
			readOn(nowMs);
		}
		for (int i = 0; i < MAX_APPENDS_PER_PUMP && !this.tailer.isFailing(); i++) {
			Optional<ConfigRecord> record = this.table.nextRecord(this.clock.getAsLong());
			if (record.isEmpty() || !append(record.get())) {
				break;
			}
		}
		this.table.settle(this.clock.getAsLong()).apply(this.timers);
		return this.tailer.nextPollAtMs();
	}

	private boolean append(ConfigRecord record) {
		if (!this.table.beginAppend(record)) {
			return false;
		}
		try {
			this.log.append(STREAM, record.toJson());
			this.table.appended(record);
		}
		catch (ConnectException ex) {
			this.table.notSent(record);
			return failed(ex);
		}
		catch (IOException ex) {
			return failed(ex);
		}
		return readOn(this.clock.getAsLong());
	}

	private boolean failed(IOException failure) {
		this.events.logFailed(STREAM, "append", failure);
		this.tailer.noteFailure(this.clock.getAsLong());
		return false;
	}

	private boolean readOn(long nowMs) {
		try {
			this.tailer.readOn(nowMs);
			this.table.reachedEnd(nowMs).apply(this.timers);
			notifyListeners();
			return true;
		}
		catch (IOException ex) {
			this.events.logFailed(STREAM, "read", ex);
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

	private boolean isLogSilent(long nowMs) {
		long reached = this.tailer.reachedEndAtMs();
		return reached == Long.MIN_VALUE || nowMs - reached > IN_DOUBT_AFTER_MS;
	}

	/**
	 * Passes pages to the table.
	 */
	private final class Pages implements LogTailer.Reader {

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
