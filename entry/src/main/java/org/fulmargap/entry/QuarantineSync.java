package org.fulmargap.entry;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.LongSupplier;

import io.netty.channel.EventLoop;
import org.fulmargap.entry.peer.PeerMessage;
import org.fulmargap.entry.peer.PeerNetwork;
import org.fulmargap.platform.KeyedRecord;
import org.fulmargap.platform.StoreClient;
import org.fulmargap.platform.StoreException;
import org.fulmargap.platform.StoreTopic;
import org.fulmargap.routing.PartVerdict;
import org.fulmargap.routing.PromptPartQuarantine;

/**
 * Hands the verdicts on prompt parts to VMs that start: repeats them to the neighbours of
 * this VM, and keeps them in the store, to which one VM writes for all. Confined to the
 * event loop, except for the writes.
 */
final class QuarantineSync implements AutoCloseable {

	private static final long INTERVAL_MS = 1_000;

	/** The longest delay before a failed write is repeated, in milliseconds. */
	private static final long MAX_RETRY_DELAY_MS = 8_000;

	/** The size of the longest key of a record, in bytes. */
	private static final int MAX_KEY_BYTES = 255;

	/** The name whose coordinator writes. */
	private static final String DUTY = "quarantine";

	private final StoreClient store;

	private final EventLoop loop;

	private final LongSupplier clockMs;

	private final PromptPartQuarantine quarantine;

	private final PeerNetwork peers;

	// A single thread, started with the first write.
	private final ExecutorService writer = Executors.newSingleThreadExecutor((task) -> {
		Thread thread = new Thread(task, "quarantine-writer");
		thread.setDaemon(true);
		return thread;
	});

	private final Map<String, PartVerdict> recorded = new HashMap<>();

	private boolean read;

	// The history of the store to which the recorded verdicts belong.
	private long history;

	private boolean writing;

	private long retryDelayMs = INTERVAL_MS;

	private long nextWriteAtMs = Long.MIN_VALUE;

	private long nextRepeatAtMs = Long.MIN_VALUE;

	QuarantineSync(StoreClient store, EventLoop loop, LongSupplier clockMs, PromptPartQuarantine quarantine,
			PeerNetwork peers) {
		this.store = store;
		this.loop = loop;
		this.clockMs = clockMs;
		this.quarantine = quarantine;
		this.peers = peers;
	}

	/**
	 * Forgets which verdicts the store has, because it came back from an older copy.
	 * @param newHistory the number of the store's history from now on
	 */
	void restored(long newHistory) {
		this.history = newHistory;
		this.recorded.clear();
	}

	/**
	 * Applies records of the store.
	 * @param records the records that were not known
	 */
	void apply(List<KeyedRecord> records) {
		this.read = true;
		long nowMs = this.clockMs.getAsLong();
		for (KeyedRecord record : records) {
			if (record.isRemoval()) {
				this.recorded.remove(record.key());
				continue;
			}
			try {
				PartVerdict verdict = decode(record, nowMs);
				this.recorded.put(record.key(), verdict);
				this.quarantine.add(verdict, nowMs);
			}
			catch (IllegalArgumentException ex) {
				EventLog.state("quarantine_record_refused")
					.with("key", record.key())
					.with("offset", record.offset())
					.with("cause", ex.getMessage())
					.write();
			}
		}
	}

	/**
	 * Repeats the verdicts to the neighbours and writes what the store lacks. Called with
	 * each heartbeat.
	 * @param nowMs the current time in milliseconds
	 */
	void update(long nowMs) {
		List<PartVerdict> verdicts = this.quarantine.verdicts(nowMs);
		if (!verdicts.isEmpty() && nowMs >= this.nextRepeatAtMs) {
			this.nextRepeatAtMs = nowMs + INTERVAL_MS;
			this.peers.sendToNeighbours(new PeerMessage.PromptPartVerdicts(verdicts));
		}
		boolean mayWrite = this.read && !this.writing && nowMs >= this.nextWriteAtMs;
		if (mayWrite && this.peers.coordinatorOf(DUTY).equals(this.peers.ownName())) {
			missing(verdicts, nowMs).or(() -> outdated(nowMs)).ifPresent((change) -> write(change, nowMs));
		}
	}

	private Optional<Change> missing(List<PartVerdict> verdicts, long nowMs) {
		return verdicts.stream()
			.filter((verdict) -> !this.recorded.containsKey(key(verdict.parts())))
			.map((verdict) -> new Change(key(verdict.parts()), encode(verdict, nowMs)))
			.filter((change) -> change.key.getBytes(StandardCharsets.UTF_8).length <= MAX_KEY_BYTES)
			.findFirst();
	}

	private Optional<Change> outdated(long nowMs) {
		return this.recorded.entrySet()
			.stream()
			.filter((entry) -> this.quarantine.isOutdated(entry.getValue(), nowMs))
			.map((entry) -> new Change(entry.getKey(), new byte[0]))
			.findFirst();
	}

	private void write(Change change, long nowMs) {
		this.writing = true;
		this.nextWriteAtMs = nowMs + INTERVAL_MS;
		this.writer.execute(() -> {
			try {
				long writtenIn = this.store.put(StoreTopic.QUARANTINE, change.key, change.value);
				this.loop.execute(() -> written(change, writtenIn, Optional.empty()));
			}
			catch (StoreException ex) {
				this.loop.execute(() -> written(change, this.history, Optional.of(ex)));
			}
		});
	}

	private void written(Change change, long writtenIn, Optional<StoreException> failure) {
		long nowMs = this.clockMs.getAsLong();
		this.writing = false;
		EventLog.state("quarantine_written")
			.with("key", change.key)
			.with("removal", change.value.length == 0)
			.with("failure", failure.map(StoreException::getMessage).orElse("none"))
			.write();
		if (failure.isPresent()) {
			this.nextWriteAtMs = nowMs + this.retryDelayMs;
			this.retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, this.retryDelayMs * 2);
			return;
		}
		this.retryDelayMs = INTERVAL_MS;
		if (writtenIn < this.history) {
			// The store lost the record when it came back from an older copy.
			return;
		}
		// The record that the store returns later says the same.
		if (change.value.length == 0) {
			this.recorded.remove(change.key);
		}
		else {
			this.recorded.put(change.key, decode(new KeyedRecord(change.key, change.value, 0), nowMs));
		}
	}

	private static String key(Set<String> parts) {
		return String.join(",", new TreeSet<>(parts));
	}

	// The times in a record are milliseconds since the epoch, because each process has a
	// clock of its own.
	private static byte[] encode(PartVerdict verdict, long nowMs) {
		long epochOffsetMs = System.currentTimeMillis() - nowMs;
		String times = (verdict.sinceMs() + epochOffsetMs) + " " + (verdict.untilMs() + epochOffsetMs);
		return times.getBytes(StandardCharsets.UTF_8);
	}

	// The clock of the writer may have been ahead by any time. A verdict never rests on a
	// later crash, nor lasts longer, than one that is made now.
	private static PartVerdict decode(KeyedRecord record, long nowMs) {
		long epochOffsetMs = System.currentTimeMillis() - nowMs;
		String[] times = new String(record.value(), StandardCharsets.UTF_8).split(" ");
		if (times.length != 2) {
			throw new IllegalArgumentException("two times expected");
		}
		long sinceMs = Math.min(nowMs, Long.parseLong(times[0]) - epochOffsetMs);
		long untilMs = Math.min(nowMs + PromptPartQuarantine.LIFETIME_MS, Long.parseLong(times[1]) - epochOffsetMs);
		return new PartVerdict(Set.of(record.key().split(",")), sinceMs, untilMs);
	}

	@Override
	public void close() {
		this.writer.shutdownNow();
	}

	private record Change(String key, byte[] value) {
	}

}
