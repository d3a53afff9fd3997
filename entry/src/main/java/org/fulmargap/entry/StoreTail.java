package org.fulmargap.entry;

import java.util.function.BiConsumer;
import java.util.function.LongSupplier;

import org.fulmargap.fleet.StorePosition;
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

	private static final long NEVER_MS = Long.MIN_VALUE;

	private final StoreClient store;

	private final StoreTopic topic;

	private final LongPollWait wait;

	private final long minIntervalMs;

	private final LongSupplier clockMs;

	private final BiConsumer<StorePage, PageOrigin> pages;

	private final Runnable outageListener;

	private final Need need;

	private StorePosition position = StorePosition.UNREAD;

	private long endedAtMs;

	private long retryDelayMs = FIRST_RETRY_DELAY_MS;

	// The records from the known offset on can't be read; the topic is listed again.
	private boolean expired;

	private long previousReadAtMs = NEVER_MS;

	// When the newest successful read ended.
	private long succeededAtMs = NEVER_MS;

	private volatile boolean reached;

	private volatile boolean failing;

	// The last failure was no timeout.
	private boolean failedAtOnce;

	// The store was away. One read that times out may only mean a silent connection.
	private boolean outage;

	/**
	 * Creates a tail that starts with the newest record of each key.
	 * @param store the store
	 * @param topic the topic
	 * @param wait how long the store holds a read open for new records
	 * @param minIntervalMs the shortest time between the starts of two reads, in
	 * milliseconds; one read then returns several changes, because each call is charged
	 * @param clockMs the current time in milliseconds
	 * @param pages receives the pages and their origin, on the tail's thread
	 * @param outageListener called on the tail's thread when an outage of the store
	 * begins and when it ends
	 * @param need whether and from where on the topic is to be read
	 */
	StoreTail(StoreClient store, StoreTopic topic, LongPollWait wait, long minIntervalMs, LongSupplier clockMs,
			BiConsumer<StorePage, PageOrigin> pages, Runnable outageListener, Need need) {
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
					this.position = this.position.later(this.need.position());
				}
				if (this.position.isRead() && this.store.newestHistory() > this.position.history()) {
					// Another topic's answer showed that the store came back from a copy.
					logGap();
					listAnew();
				}
				long startedAtMs = this.clockMs.getAsLong();
				long delayMs = readPage(startedAtMs) - (this.clockMs.getAsLong() - startedAtMs);
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

	private long readPage(long startedAtMs) {
		try {
			StorePage page = (this.position.isRead())
					? this.store.read(this.topic, this.position.offset(), waitMs(startedAtMs))
					: this.store.newest(this.topic);
			long nowMs = this.clockMs.getAsLong();
			if (!page.isComplete() && page.history() != this.position.history()) {
				return otherHistory(nowMs);
			}
			succeeded(page, nowMs);
			if (page.isComplete() || !page.records().isEmpty()) {
				this.pages.accept(page, originOf(page, startedAtMs, nowMs));
			}
			return (page.hasNext()) ? 0 : this.minIntervalMs;
		}
		catch (StoreException ex) {
			return failed(ex, this.clockMs.getAsLong() - startedAtMs);
		}
		finally {
			this.previousReadAtMs = startedAtMs;
		}
	}

	// The store may have come back from a copy, which only an answer shows. A store that
	// answers slowly needs the time that a waiting read has.
	private long waitMs(long nowMs) {
		return (this.failing && this.failedAtOnce) ? 0 : this.wait.waitMs(this.endedAtMs, nowMs);
	}

	// The offset of the read belongs to another history of the store than the page, which
	// may lack records.
	private long otherHistory(long nowMs) {
		this.endedAtMs = nowMs;
		logGap();
		listAnew();
		return 0;
	}

	private void logGap() {
		EventLog.state("store_gap")
			.with("topic", this.topic)
			.with("offset", this.position.offset())
			.with("history", this.position.history())
			.write();
	}

	private void succeeded(StorePage page, long nowMs) {
		this.endedAtMs = nowMs;
		this.expired = false;
		this.position = page.position();
		this.retryDelayMs = FIRST_RETRY_DELAY_MS;
		if (!isReached()) {
			reachedAgain(nowMs);
		}
		this.succeededAtMs = nowMs;
		if (!page.unreadableOffsets().isEmpty()) {
			EventLog.state("store_records_skipped")
				.with("topic", this.topic)
				.with("offset", page.unreadableOffsets().get(0))
				.with("records", page.unreadableOffsets().size())
				.write();
		}
	}

	private void reachedAgain(long nowMs) {
		boolean recovered = this.outage;
		this.reached = true;
		this.failing = false;
		this.outage = false;
		EventLog.state("store_reached")
			.with("topic", this.topic)
			.with("offset", this.position.offset())
			.with("unread_ms", ageMs(this.succeededAtMs, nowMs))
			.write();
		if (recovered) {
			this.outageListener.run();
		}
	}

	private PageOrigin originOf(StorePage page, long startedAtMs, long nowMs) {
		return new PageOrigin(PageOrigin.STORE, page.records().size(), nowMs - startedAtMs,
				ageMs(this.previousReadAtMs, nowMs), nowMs);
	}

	private static long ageMs(long atMs, long nowMs) {
		return (atMs != NEVER_MS) ? nowMs - atMs : -1;
	}

	private long failed(StoreException ex, long openMs) {
		this.failedAtOnce = openMs < StoreClient.ANSWER_TIMEOUT_MS;
		// The next read uses a new connection. With what is left of the time since the
		// last answer, reads of a store that answers slowly would never succeed again.
		this.endedAtMs = this.clockMs.getAsLong();
		if (ex.type() == StoreException.Type.EXPIRED) {
			logGap();
			listAnew();
			return 0;
		}
		if (ex.type() == StoreException.Type.MALFORMED) {
			// The read may fail again and again if the known offset is wrong.
			listAnew();
		}
		boolean away = this.failing || ex.type() != StoreException.Type.NO_ANSWER;
		if (away && !this.outage) {
			this.outage = true;
			this.outageListener.run();
		}
		if (!this.failing) {
			this.failing = true;
			EventLog.state("store_lost")
				.with("topic", this.topic)
				.with("type", ex.type())
				.with("open_ms", openMs)
				.with("cause", ex.getMessage())
				.write();
		}
		long delayMs = this.retryDelayMs;
		this.retryDelayMs = Math.min(this.need.maxRetryDelayMs(), this.retryDelayMs * 2);
		return delayMs;
	}

	private void listAnew() {
		this.expired = true;
		this.position = StorePosition.UNREAD;
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
		 * Returns the position up to which the records are known.
		 * @return the position
		 */
		StorePosition position();

		/**
		 * Returns the longest delay before a failed read is repeated.
		 * @return the delay in milliseconds
		 */
		long maxRetryDelayMs();

	}

}
