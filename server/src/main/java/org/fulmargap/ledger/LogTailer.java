package org.fulmargap.ledger;

import java.io.IOException;
import java.util.Objects;

/**
 * Reads one stream of the log and follows its tail.
 */
final class LogTailer {

	private static final int PAGE_RECORDS = 500;

	private static final long POLL_MS = 100;

	private static final long MAX_BACKOFF_MS = 1_000;

	private final PlatformLog log;

	private final String stream;

	private final Reader reader;

	private long nextPollAtMs;

	private long backoffMs;

	private volatile long reachedEndAtMs = Long.MIN_VALUE;

	LogTailer(PlatformLog log, String stream, Reader reader) {
		this.log = Objects.requireNonNull(log, "log");
		this.stream = Objects.requireNonNull(stream, "stream");
		this.reader = Objects.requireNonNull(reader, "reader");
	}

	/**
	 * Reads pages up to the end of the stream and schedules the next poll.
	 * @param nowMs the current time in milliseconds since the epoch
	 * @throws IOException if the log did not respond or the page ended before the next
	 * offset of the stream
	 */
	void readToEnd(long nowMs) throws IOException {
		try {
			LogPage page;
			do {
				page = this.log.read(this.stream, this.reader.nextOffset(), PAGE_RECORDS);
				this.reader.read(page, nowMs);
			}
			while (this.reader.nextOffset() < page.nextOffset() && !page.records().isEmpty());
			if (this.reader.nextOffset() < page.nextOffset()) {
				throw new IOException("stream " + this.stream + " ends before offset " + page.nextOffset());
			}
			this.reachedEndAtMs = nowMs;
			this.backoffMs = 0;
			this.nextPollAtMs = nowMs + POLL_MS;
		}
		catch (IOException ex) {
			backOff(nowMs);
			throw ex;
		}
	}

	/**
	 * Delays the next poll after a failed call. The delay doubles with each further
	 * failure, up to a maximum.
	 * @param nowMs the current time in milliseconds since the epoch
	 */
	void backOff(long nowMs) {
		this.backoffMs = Math.min(MAX_BACKOFF_MS, Math.max(POLL_MS, 2 * this.backoffMs));
		this.nextPollAtMs = nowMs + this.backoffMs;
	}

	/**
	 * Returns when the next poll is due.
	 * @return a time in milliseconds since the epoch
	 */
	long nextPollAtMs() {
		return this.nextPollAtMs;
	}

	/**
	 * Returns whether a call has failed since the last read to the end of the stream.
	 * @return {@code true} after a failed call, until a read reaches the end
	 */
	boolean isFailing() {
		return this.backoffMs > 0;
	}

	/**
	 * Returns the start time of the last read that reached the end of the stream.
	 * @return a time in milliseconds since the epoch, or {@link Long#MIN_VALUE} if no
	 * read reached the end
	 */
	long reachedEndAtMs() {
		return this.reachedEndAtMs;
	}

	/**
	 * Receives the pages of the stream.
	 */
	interface Reader {

		/**
		 * Returns the offset of the next record to read.
		 * @return an offset
		 */
		long nextOffset();

		/**
		 * Processes a page.
		 * @param page the page
		 * @param nowMs the current time in milliseconds since the epoch
		 */
		void read(LogPage page, long nowMs);

	}

}
