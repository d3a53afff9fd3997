package org.fulmargap.entry.rollout;

import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import org.fulmargap.entry.EventLog;
import org.fulmargap.platform.KeyedRecord;
import org.fulmargap.platform.MalformedRecordException;
import org.fulmargap.platform.RolloutRecords;
import org.fulmargap.platform.StoreClient;
import org.fulmargap.platform.StoreException;
import org.fulmargap.platform.StorePage;
import org.fulmargap.platform.StoreTopic;
import org.fulmargap.rollout.RolloutProgress;
import org.fulmargap.rollout.RolloutState;

/**
 * Keeps the progress of rollouts in the platform's store, and their states for operators.
 * Calls are made one after the other in a thread of their own; results arrive on the
 * event loop.
 */
public final class RolloutStore implements AutoCloseable {

	/** How often a write is tried whose condition fails because of another writer. */
	private static final int MAX_TRIES = 4;

	private final StoreClient store;

	private final EventLoop loop;

	// A single thread, started with the first call.
	private final ExecutorService caller = Executors.newSingleThreadExecutor((task) -> {
		Thread thread = new Thread(task, "rollouts");
		thread.setDaemon(true);
		return thread;
	});

	/**
	 * Creates an access to the store.
	 * @param store the store
	 * @param loop the event loop that gets the results
	 */
	public RolloutStore(StoreClient store, EventLoop loop) {
		this.store = store;
		this.loop = loop;
	}

	/**
	 * Reads the progress of a service's rollout.
	 * @param service the name of the service
	 * @param result receives the progress
	 */
	void read(String service, Consumer<Result> result) {
		this.caller.execute(() -> {
			Result read = tryRead(service);
			this.loop.execute(() -> result.accept(read));
		});
	}

	/**
	 * Writes the progress of a service's rollout, and its state for operators. A final
	 * state of the same order stays as it is.
	 * @param service the name of the service
	 * @param progress the progress
	 * @param result receives what the store has now
	 */
	void write(String service, RolloutProgress progress, Consumer<Result> result) {
		this.caller.execute(() -> {
			Result written = tryWrite(service, progress);
			EventLog.state("rollout_written")
				.with("service", service)
				.with("order", progress.orderId())
				.with("state", progress.state())
				.with("stored", written.progress().map((stored) -> stored.state().name()).orElse("unknown"))
				.write();
			this.loop.execute(() -> result.accept(written));
		});
	}

	/**
	 * Writes for operators that an invalid order has no effect.
	 * @param service the name of the service
	 */
	void refuse(String service) {
		this.caller.execute(() -> {
			try {
				this.store.put(StoreTopic.STATUS, RolloutRecords.KEY_PREFIX + service,
						RolloutRecords.encodeState("", RolloutState.REVERTED));
			}
			catch (StoreException ex) {
				EventLog.state("rollout_not_written").with("service", service).with("cause", ex.getMessage()).write();
			}
		});
	}

	private Result tryRead(String service) {
		try {
			return new Result(true, find(this.store.newest(StoreTopic.ROLLOUTS), service), false);
		}
		catch (StoreException ex) {
			return Result.UNKNOWN;
		}
	}

	// The state for operators is written at the end that was read before the progress, so
	// that a writer that was overtaken doesn't replace a final state.
	private Result tryWrite(String service, RolloutProgress progress) {
		boolean mayBeWritten = false;
		try {
			for (int i = 0; i < MAX_TRIES; i++) {
				long statusEnd = this.store.newest(StoreTopic.STATUS).nextOffset();
				StorePage page = this.store.newest(StoreTopic.ROLLOUTS);
				Optional<RolloutProgress> ended = find(page, service)
					.filter((known) -> known.orderId() == progress.orderId() && known.state().isFinal());
				mayBeWritten = true;
				if (ended.isPresent() || this.store.putAt(StoreTopic.ROLLOUTS, service,
						RolloutRecords.encodeProgress(progress), page.nextOffset())) {
					RolloutProgress stored = ended.orElse(progress);
					if (putState(service, stored, statusEnd)) {
						return new Result(true, Optional.of(stored), true);
					}
				}
			}
		}
		catch (StoreException ex) {
			EventLog.state("rollout_not_written").with("service", service).with("cause", ex.getMessage()).write();
		}
		return new Result(false, Optional.empty(), mayBeWritten);
	}

	private boolean putState(String service, RolloutProgress stored, long statusEnd) throws StoreException {
		String key = RolloutRecords.KEY_PREFIX + service;
		byte[] value = RolloutRecords.encodeState(stored.toVersion(), stored.state());
		if (!stored.state().isFinal()) {
			return this.store.putAt(StoreTopic.STATUS, key, value, statusEnd);
		}
		this.store.put(StoreTopic.STATUS, key, value);
		return true;
	}

	private static Optional<RolloutProgress> find(StorePage page, String service) {
		for (KeyedRecord record : page.records()) {
			if (record.key().equals(service)) {
				return decode(record);
			}
		}
		return Optional.empty();
	}

	private static Optional<RolloutProgress> decode(KeyedRecord record) {
		try {
			return Optional.of(RolloutRecords.decodeProgress(record.value()));
		}
		catch (MalformedRecordException ex) {
			EventLog.state("rollout_record_refused")
				.with("service", record.key())
				.with("offset", record.offset())
				.with("cause", ex.getMessage())
				.write();
			return Optional.empty();
		}
	}

	@Override
	public void close() {
		this.caller.shutdownNow();
	}

	/**
	 * What the store has of a rollout.
	 *
	 * @param known whether the store answered
	 * @param progress the progress, or empty if it has none or did not answer
	 * @param maybeWritten whether a write may have taken effect
	 */
	record Result(boolean known, Optional<RolloutProgress> progress, boolean maybeWritten) {

		/** The store could not be read. */
		static final Result UNKNOWN = new Result(false, Optional.empty(), false);

	}

}
