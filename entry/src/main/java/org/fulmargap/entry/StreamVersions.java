package org.fulmargap.entry;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import io.netty.channel.EventLoop;
import org.fulmargap.entry.peer.PeerMessage;
import org.fulmargap.entry.peer.PeerNetwork;
import org.fulmargap.placement.EndpointDirectory;
import org.fulmargap.platform.KeyedRecord;
import org.fulmargap.platform.MalformedRecordException;
import org.fulmargap.platform.StoreClient;
import org.fulmargap.platform.StoreException;
import org.fulmargap.platform.StoreTopic;
import org.fulmargap.platform.StreamRecords;
import org.fulmargap.stream.AnnouncementGaps;
import org.fulmargap.stream.ServiceVersions;
import org.fulmargap.stream.StreamOrigin;
import org.fulmargap.stream.StreamOrigins;

/**
 * Finds the software version at which a stream that is taken up must go on. Only while a
 * service has several versions do VMs tell each other where streams began, and one of
 * them writes it to the store for VMs that start. Confined to the event loop, except for
 * the calls to the store.
 */
public final class StreamVersions implements AutoCloseable {

	/** The interval at which origins are written, in milliseconds. */
	private static final long WRITE_INTERVAL_MS = 250;

	/** The interval at which a mixed service's versions are written, in milliseconds. */
	private static final long VERSIONS_INTERVAL_MS = 5_000;

	/**
	 * The number of records for origins. Each is replaced after this many intervals, when
	 * the streams in it have ended.
	 */
	private static final int RECORDS = 160;

	/** The number of origins in a record. */
	private static final int MAX_ORIGINS_PER_RECORD = 100;

	/**
	 * The length of the longest attempt id, service and version together that are
	 * written, in characters, so that a record keeps its bound. Longer ones are only
	 * announced.
	 */
	private static final int MAX_WRITTEN_LENGTH = 70;

	/** Further origins are dropped while the store accepts no writes. */
	private static final int MAX_PENDING = 10_000;

	/** The size of the longest key of a record, in bytes. */
	private static final int MAX_KEY_BYTES = 255;

	/**
	 * How far the clocks of two VMs may differ, in milliseconds: a version counts as
	 * listed lately for this much longer after a start.
	 */
	private static final long CLOCK_TOLERANCE_MS = 10_000;

	/** The length of the longest attempt id that is logged whole, in characters. */
	private static final int MAX_LOGGED_LENGTH = 100;

	/**
	 * A VM that becomes the writer writes the origins of the time before, in
	 * milliseconds: a writer counts as lost 900 ms after its last message, and another VM
	 * that relied on it finds that out up to 1,500 ms later.
	 */
	private static final long WRITER_CHANGE_MS = 3_000;

	/** The name whose coordinator writes. */
	private static final String DUTY = "streams";

	private final StoreClient store;

	private final EventLoop loop;

	private final LongSupplier clockMs;

	private final EndpointDirectory directory;

	private final PeerNetwork peers;

	private final EntryMetrics metrics;

	private final EndpointReader endpointReader;

	private final SuspendedTime suspendedTime;

	private final AnnouncementGaps gaps = new AnnouncementGaps();

	private final StreamOrigins origins = new StreamOrigins();

	private final ServiceVersions versions = new ServiceVersions();

	private final Set<String> mixedServices = new HashSet<>();

	private final Deque<StreamOrigin> pending = new ArrayDeque<>();

	private final Map<String, Long> versionsWrittenAtMs = new HashMap<>();

	private final List<Consumer<History>> waiting = new ArrayList<>();

	// A single thread, started with the first call.
	private final ExecutorService caller = Executors.newSingleThreadExecutor((task) -> {
		Thread thread = new Thread(task, "stream-versions");
		thread.setDaemon(true);
		return thread;
	});

	private boolean reading;

	private boolean writer;

	private boolean writing;

	private long nextWriteAtMs = Long.MIN_VALUE;

	StreamVersions(StoreClient store, EventLoop loop, LongSupplier clockMs, EndpointDirectory directory,
			PeerNetwork peers, EndpointReader endpointReader, EntryMetrics metrics) {
		this.store = store;
		this.loop = loop;
		this.clockMs = clockMs;
		this.directory = directory;
		this.peers = peers;
		this.metrics = metrics;
		this.endpointReader = endpointReader;
		this.suspendedTime = new SuspendedTime(SuspendedTime::uptimeMs, clockMs.getAsLong());
	}

	/**
	 * Records that a stream has begun at this VM.
	 * @param origin where it began
	 */
	public void begun(StreamOrigin origin) {
		long nowMs = this.clockMs.getAsLong();
		this.origins.add(origin, true, nowMs);
		this.versions.listed(origin.service(), origin.softwareVersion(), nowMs);
		if (this.versions.isMixed(origin.service(), nowMs)) {
			announce(origin);
		}
	}

	private void announce(StreamOrigin origin) {
		this.peers.announce(new PeerMessage.StreamBegun(origin));
		addPending(origin);
	}

	/**
	 * Records where a stream began at another VM.
	 * @param origin where it began
	 */
	void heard(StreamOrigin origin) {
		long nowMs = this.clockMs.getAsLong();
		this.origins.add(origin, false, nowMs);
		// This VM may not have read the records of these endpoints.
		this.versions.listed(origin.service(), origin.softwareVersion(), nowMs);
		addPending(origin);
	}

	private void addPending(StreamOrigin origin) {
		if (!isWriter()) {
			this.pending.clear();
			return;
		}
		int length = origin.attemptId().length() + origin.service().length() + origin.softwareVersion().length();
		if (length > MAX_WRITTEN_LENGTH) {
			this.metrics.count("stream_origins_too_long");
		}
		else if (this.pending.size() < MAX_PENDING) {
			this.pending.add(origin);
		}
		else {
			this.metrics.count("stream_origins_dropped");
		}
	}

	private boolean isWriter() {
		return this.peers.coordinatorOf(DUTY).equals(this.peers.ownName());
	}

	/**
	 * Finds out where a stream that is taken up may go on. A VM that may have missed what
	 * others announced reads from the store what it needs for the answer.
	 * @param attemptId the id of the attempt that brought the first event, or an empty
	 * string
	 * @param service the service that is to go on with the stream
	 * @param result receives the answer, possibly during this call
	 */
	public void resolve(String attemptId, String service, Consumer<StreamPlacement> result) {
		long nowMs = this.clockMs.getAsLong();
		update(nowMs);
		if (this.origins.find(attemptId).isPresent() || !lacksAnnouncements(nowMs)) {
			result.accept(placement(attemptId, service, History.UNREAD));
			return;
		}
		this.waiting.add((history) -> result.accept(placement(attemptId, service, history)));
		readForWaiting();
	}

	private boolean lacksAnnouncements(long nowMs) {
		if (this.suspendedTime.passedMs(nowMs) > 0) {
			this.gaps.missed(nowMs);
		}
		return this.gaps.isOpen(nowMs);
	}

	// What is asked for during a read may have been written after it, so it waits for the
	// next one.
	private void readForWaiting() {
		if (this.reading || this.waiting.isEmpty()) {
			return;
		}
		this.reading = true;
		List<Consumer<History>> asked = List.copyOf(this.waiting);
		this.waiting.clear();
		long startedAtMs = this.clockMs.getAsLong();
		this.caller.execute(() -> readHistory(asked, startedAtMs));
	}

	private StreamPlacement placement(String attemptId, String service, History history) {
		long nowMs = this.clockMs.getAsLong();
		StreamPlacement placement = this.origins.find(attemptId)
			.map((origin) -> StreamPlacement.at(origin.softwareVersion()))
			.orElseGet(() -> ofUnknownOrigin(service, history, nowMs));
		EventLog.call("stream_taken_up")
			.with("resumed", EventLog.cut(attemptId, MAX_LOGGED_LENGTH))
			.with("service", service)
			.with("placement", placement)
			.with("versions", this.versions.lately(service, nowMs).size())
			.with("history", history)
			.write();
		this.metrics.count("stream_taken_up_" + placement.kind().metric());
		return placement;
	}

	private StreamPlacement ofUnknownOrigin(String service, History history, long nowMs) {
		boolean unsure = history == History.UNREADABLE && this.gaps.isUnread(nowMs);
		return (unsure || this.versions.isMixed(service, nowMs)) ? StreamPlacement.UNKNOWN : StreamPlacement.ANYWHERE;
	}

	/**
	 * Notices which versions the services have, and writes what VMs that start need.
	 * Called with each heartbeat.
	 * @param nowMs the current time in milliseconds
	 */
	void update(long nowMs) {
		this.gaps.missed(this.peers.missedAtMs(nowMs));
		this.directory.softwareVersions().forEach((service, listed) -> {
			listed.forEach((version) -> this.versions.listed(service, version, nowMs));
			updateMixed(service, nowMs);
		});
		updateWriter(nowMs);
		if (!this.writing && nowMs >= this.nextWriteAtMs && isWriter()) {
			Map<String, byte[]> changes = dueRecords(nowMs);
			if (!changes.isEmpty() || !this.pending.isEmpty()) {
				write(changes, nowMs);
			}
		}
	}

	private void updateWriter(long nowMs) {
		boolean wasWriter = this.writer;
		this.writer = isWriter();
		if (this.writer && !wasWriter) {
			for (String service : this.mixedServices) {
				this.origins.added(service, nowMs - WRITER_CHANGE_MS).forEach(this::addPending);
			}
		}
	}

	private void updateMixed(String service, long nowMs) {
		boolean mixed = this.versions.isMixed(service, nowMs);
		if (mixed && this.mixedServices.add(service)) {
			logVersions(true, service, nowMs);
			this.origins.own(service, nowMs - ServiceVersions.LATELY_MS).forEach(this::announce);
		}
		else if (!mixed && this.mixedServices.remove(service)) {
			logVersions(false, service, nowMs);
		}
	}

	private void logVersions(boolean mixed, String service, long nowMs) {
		EventLog.state((mixed) ? "versions_mixed" : "versions_uniform")
			.with("service", service)
			.with("versions", String.join(",", this.versions.lately(service, nowMs)))
			.write();
	}

	// The times at which versions of mixed services were listed, by the key of the
	// record.
	private Map<String, byte[]> dueRecords(long nowMs) {
		Map<String, byte[]> due = new HashMap<>();
		long epochMs = System.currentTimeMillis();
		for (String service : this.mixedServices) {
			for (String version : this.versions.lately(service, nowMs)) {
				String key = service + '/' + version;
				boolean written = nowMs
						- this.versionsWrittenAtMs.getOrDefault(key, Long.MIN_VALUE / 2) < VERSIONS_INTERVAL_MS;
				if (!written && key.getBytes(StandardCharsets.UTF_8).length <= MAX_KEY_BYTES) {
					due.put(key, StreamRecords.encodeTime(epochMs));
				}
			}
		}
		return due;
	}

	private void write(Map<String, byte[]> versionRecords, long nowMs) {
		List<StreamOrigin> batch = new ArrayList<>();
		while (!this.pending.isEmpty() && batch.size() < MAX_ORIGINS_PER_RECORD) {
			batch.add(this.pending.poll());
		}
		this.writing = true;
		this.nextWriteAtMs = nowMs + WRITE_INTERVAL_MS;
		this.caller.execute(() -> {
			boolean written = put(versionRecords, batch);
			this.loop.execute(() -> written(versionRecords.keySet(), batch, written));
		});
	}

	private boolean put(Map<String, byte[]> versionRecords, List<StreamOrigin> batch) {
		try {
			for (Map.Entry<String, byte[]> record : versionRecords.entrySet()) {
				this.store.put(StoreTopic.VERSIONS, record.getKey(), record.getValue());
			}
			if (!batch.isEmpty()) {
				long number = System.currentTimeMillis() / WRITE_INTERVAL_MS % RECORDS;
				this.store.put(StoreTopic.STREAMS, Long.toString(number), StreamRecords.encode(batch));
			}
			return true;
		}
		catch (StoreException ex) {
			EventLog.state("stream_origins_not_written")
				.with("origins", batch.size())
				.with("cause", ex.getMessage())
				.write();
			return false;
		}
	}

	private void written(Set<String> versionKeys, List<StreamOrigin> batch, boolean written) {
		long nowMs = this.clockMs.getAsLong();
		this.writing = false;
		if (written) {
			versionKeys.forEach((key) -> this.versionsWrittenAtMs.put(key, nowMs));
			this.metrics.add("stream_origins_written", batch.size());
			return;
		}
		this.nextWriteAtMs = nowMs + VERSIONS_INTERVAL_MS / 5;
		batch.forEach(this::addPending);
	}

	// Runs in the thread that calls the store. The endpoints are read first: a stream
	// that
	// began at a version that is not listed began later.
	private void readHistory(List<Consumer<History>> asked, long startedAtMs) {
		List<KeyedRecord> listed = List.of();
		List<KeyedRecord> begun = List.of();
		History result = History.READ;
		try {
			this.endpointReader.read();
			listed = this.store.newest(StoreTopic.VERSIONS).records();
			begun = (listed.isEmpty()) ? List.of() : this.store.newest(StoreTopic.STREAMS).records();
		}
		catch (StoreException ex) {
			result = History.UNREADABLE;
			EventLog.state("stream_origins_not_read").with("cause", ex.getMessage()).write();
		}
		List<KeyedRecord> versionRecords = listed;
		List<KeyedRecord> streamRecords = begun;
		History history = result;
		this.loop.execute(() -> {
			applyHistory(versionRecords, streamRecords);
			historyRead(asked, history, startedAtMs);
		});
	}

	private void applyHistory(List<KeyedRecord> versionRecords, List<KeyedRecord> streamRecords) {
		long nowMs = this.clockMs.getAsLong();
		versionRecords.forEach((record) -> applyVersion(record, nowMs));
		streamRecords.forEach((record) -> applyOrigins(record, nowMs));
		update(nowMs);
	}

	private void historyRead(List<Consumer<History>> asked, History history, long startedAtMs) {
		this.reading = false;
		if (history == History.READ) {
			this.gaps.read(startedAtMs);
		}
		asked.forEach((resolved) -> resolved.accept(history));
		readForWaiting();
	}

	private void applyVersion(KeyedRecord record, long nowMs) {
		int slash = record.key().lastIndexOf('/');
		try {
			long ageMs = System.currentTimeMillis() - StreamRecords.decodeTime(record.value()) - CLOCK_TOLERANCE_MS;
			if (slash > 0) {
				this.versions.listed(record.key().substring(0, slash), record.key().substring(slash + 1),
						nowMs - Math.max(0, ageMs));
			}
		}
		catch (MalformedRecordException ex) {
			refused(record, ex);
		}
	}

	private void applyOrigins(KeyedRecord record, long nowMs) {
		try {
			StreamRecords.decode(record.value()).forEach((origin) -> this.origins.add(origin, false, nowMs));
		}
		catch (MalformedRecordException ex) {
			refused(record, ex);
		}
	}

	private static void refused(KeyedRecord record, MalformedRecordException cause) {
		EventLog.state("stream_record_refused")
			.with("key", record.key())
			.with("offset", record.offset())
			.with("cause", cause.getMessage())
			.write();
	}

	@Override
	public void close() {
		this.caller.shutdownNow();
	}

	/**
	 * Reads the records of endpoints up to now.
	 */
	@FunctionalInterface
	interface EndpointReader {

		/**
		 * Reads the records and has the event loop apply them. Blocks the calling thread.
		 * @throws StoreException if they could not be read
		 */
		void read() throws StoreException;

	}

	/**
	 * What is known of announcements that this VM may have missed.
	 */
	private enum History {

		/** It is not needed, or was read lately. */
		UNREAD,

		/** What the store has of it. */
		READ,

		/** The store could not be read. */
		UNREADABLE

	}

}
