package org.fulmargap.entry;

import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.fulmargap.platform.StoreClient;
import org.fulmargap.platform.StoreException;
import org.fulmargap.platform.StorePage;
import org.fulmargap.platform.StoreTopic;

/**
 * Follows one topic of the platform's store on a thread of its own.
 */
final class StoreTail implements Runnable {

	/** How long a read waits for records, in milliseconds. */
	private static final long WAIT_MS = 2_000;

	private static final long FIRST_PAUSE_MS = 100;

	private static final long MAX_PAUSE_MS = 800;

	private final StoreClient store;

	private final StoreTopic topic;

	private final long minIntervalMs;

	private final LongSupplier clockMs;

	private final Consumer<StorePage> pages;

	private final Runnable troubled;

	private long nextOffset = -1;

	private long pauseMs = FIRST_PAUSE_MS;

	private boolean reached;

	private boolean failing;

	/**
	 * Creates a tail.
	 * @param store the store
	 * @param topic the topic
	 * @param minIntervalMs the least time between two reads, in milliseconds; gathers
	 * changes that come in quick succession, because each read is priced
	 * @param clockMs the present time in milliseconds
	 * @param pages takes the pages, on the tail's thread
	 * @param troubled hears when the store is lost and when it is regained, on the tail's
	 * thread
	 */
	StoreTail(StoreClient store, StoreTopic topic, long minIntervalMs, LongSupplier clockMs, Consumer<StorePage> pages,
			Runnable troubled) {
		this.store = store;
		this.topic = topic;
		this.minIntervalMs = minIntervalMs;
		this.clockMs = clockMs;
		this.pages = pages;
		this.troubled = troubled;
	}

	@Override
	public void run() {
		try {
			while (!Thread.currentThread().isInterrupted()) {
				long startedAtMs = this.clockMs.getAsLong();
				long restMs = step() - (this.clockMs.getAsLong() - startedAtMs);
				if (restMs > 0) {
					Thread.sleep(restMs);
				}
			}
		}
		catch (InterruptedException ex) {
			// The process stops: the tail ends with it.
			Thread.currentThread().interrupt();
		}
	}

	private long step() {
		try {
			StorePage page = (this.nextOffset < 0) ? this.store.newest(this.topic)
					: this.store.read(this.topic, this.nextOffset, WAIT_MS);
			this.nextOffset = page.nextOffset();
			this.pauseMs = FIRST_PAUSE_MS;
			if (!this.reached || this.failing) {
				boolean regained = this.failing;
				this.reached = true;
				this.failing = false;
				EventLog.state("store_reached").with("topic", this.topic).with("offset", this.nextOffset).write();
				if (regained) {
					this.troubled.run();
				}
			}
			if (page.isComplete() || !page.records().isEmpty()) {
				this.pages.accept(page);
			}
			return this.minIntervalMs;
		}
		catch (StoreException ex) {
			return failed(ex);
		}
	}

	private long failed(StoreException ex) {
		if (ex.type() == StoreException.Type.EXPIRED) {
			EventLog.state("store_gap").with("topic", this.topic).with("offset", this.nextOffset).write();
			this.nextOffset = -1;
			return 0;
		}
		if (!this.failing) {
			this.failing = true;
			EventLog.state("store_lost")
				.with("topic", this.topic)
				.with("type", ex.type())
				.with("cause", ex.getMessage())
				.write();
			this.troubled.run();
		}
		long pause = this.pauseMs;
		this.pauseMs = Math.min(MAX_PAUSE_MS, this.pauseMs * 2);
		return pause;
	}

}
