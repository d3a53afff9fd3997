package org.fulmargap.entry;

import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.fulmargap.platform.StoreClient;
import org.fulmargap.platform.StoreException;
import org.fulmargap.platform.StorePage;
import org.fulmargap.platform.StoreTopic;

/**
 * Reads one topic of the platform's store by long polls on a separate thread, until the
 * thread is interrupted.
 */
final class StoreTail implements Runnable {

	private static final long FIRST_RETRY_DELAY_MS = 100;

	private final StoreClient store;

	private final StoreTopic topic;

	private final LongPollWait wait;

	private final long minIntervalMs;

	private final LongSupplier clockMs;

	private final Consumer<StorePage> pages;

	private final Runnable outageListener;

	private final Need need;

	private long nextOffset = -1;

	private long endedAtMs;

	private long retryDelayMs = FIRST_RETRY_DELAY_MS;

	// The records from the known offset on are deleted; the topic is listed again.
	private boolean expired;

	private volatile boolean reached;

	private volatile boolean failing;

	/**
	 * Creates a tail that starts with the newest record of each key.
	 * @param store the store
	 * @param topic the topic
	 * @param wait how long the store holds a read open for new records
	 * @param minIntervalMs the shortest time between the starts of two reads, in
	 * milliseconds; one read then returns several changes, because each call is charged
	 * @param clockMs the current time in milliseconds
	 * @param pages receives the pages, on the tail's thread
	 * @param outageListener called on the tail's thread when an outage of the store
	 * begins and when it ends
	 * @param need whether and from where on the topic is to be read
	 */
	StoreTail(StoreClient store, StoreTopic topic, LongPollWait wait, long minIntervalMs, LongSupplier clockMs,
			Consumer<StorePage> pages, Runnable outageListener, Need need) {
		this.store = store;
		this.topic = topic;
		this.wait = wait;
		this.minIntervalMs = minIntervalMs;
		this.clockMs = clockMs;
		this.pages = pages;
		this.outageListener = outageListener;
		this.need = need;
		this.endedAtMs = clockMs.getAsLong();
	}

	/**
	 * Returns whether the last read succeeded.
	 * @return {@code true} if it did
	 */
	boolean isReached() {
		return this.reached && !this.failing;
	}

	@Override
	public void run() {
		try {
			while (!Thread.currentThread().isInterrupted()) {
				awaitNeed();
				if (!this.expired) {
					this.nextOffset = Math.max(this.nextOffset, this.need.nextOffset());
				}
				long startedAtMs = this.clockMs.getAsLong();
				long delayMs = readPage() - (this.clockMs.getAsLong() - startedAtMs);
				if (delayMs > 0) {
					Thread.sleep(delayMs);
				}
			}
		}
		catch (InterruptedException ex) {
			// The process is stopping.
			Thread.currentThread().interrupt();
		}
	}

	private synchronized void awaitNeed() throws InterruptedException {
		while (!this.need.isNeeded()) {
			wait();
		}
	}

	/**
	 * Makes the tail read again if that is needed now.
	 */
	synchronized void needChanged() {
		notifyAll();
	}

	private long readPage() {
		try {
			StorePage page = (this.nextOffset < 0) ? this.store.newest(this.topic) : this.store.read(this.topic,
					this.nextOffset, this.wait.waitMs(this.endedAtMs, this.clockMs.getAsLong()));
			this.endedAtMs = this.clockMs.getAsLong();
			this.expired = false;
			this.nextOffset = page.nextOffset();
			this.retryDelayMs = FIRST_RETRY_DELAY_MS;
			if (!this.reached || this.failing) {
				boolean recovered = this.failing;
				this.reached = true;
				this.failing = false;
				EventLog.state("store_reached").with("topic", this.topic).with("offset", this.nextOffset).write();
				if (recovered) {
					this.outageListener.run();
				}
			}
			if (!page.unreadableOffsets().isEmpty()) {
				EventLog.state("store_records_skipped")
					.with("topic", this.topic)
					.with("offset", page.unreadableOffsets().get(0))
					.with("records", page.unreadableOffsets().size())
					.write();
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
		// The next read uses a new connection. With what is left of the time since the
		// last answer, reads of a store that answers slowly would never succeed again.
		this.endedAtMs = this.clockMs.getAsLong();
		if (ex.type() == StoreException.Type.EXPIRED) {
			EventLog.state("store_gap").with("topic", this.topic).with("offset", this.nextOffset).write();
			this.expired = true;
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
			this.outageListener.run();
		}
		long delayMs = this.retryDelayMs;
		this.retryDelayMs = Math.min(this.need.maxRetryDelayMs(), this.retryDelayMs * 2);
		return delayMs;
	}

	/**
	 * What a VM needs to read by itself. Called on the tail's thread.
	 */
	interface Need {

		/**
		 * Returns whether the topic is to be read.
		 * @return {@code false} while other VMs relay its records
		 */
		boolean isNeeded();

		/**
		 * Returns the offset up to which the records are known.
		 * @return the offset; -1 if none are
		 */
		long nextOffset();

		/**
		 * Returns the longest delay before a failed read is repeated.
		 * @return the delay in milliseconds
		 */
		long maxRetryDelayMs();

	}

}
