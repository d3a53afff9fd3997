package org.fulmargap.ledger;

import java.io.IOException;
import java.util.Objects;

/**
 * Follows one stream of the log.
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
	 * Reads pages until the end of the stream.
	 * @param nowMs the present time in milliseconds since the epoch
	 * @throws IOException if the log did not answer
	 */
	void readOn(long nowMs) throws IOException {
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
			noteFailure(nowMs);
			throw ex;
		}
	}

	/**
	 * Lengthens the pause before the next poll after a failed call.
	 * @param nowMs the present time in milliseconds since the epoch
	 */
	void noteFailure(long nowMs) {
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
	 * Tells whether the last call failed.
	 * @return {@code true} while the log does not answer
	 */
	boolean isFailing() {
		return this.backoffMs > 0;
	}

	/**
	 * Returns when the last read began that reached the end of the stream.
	 * @return a time in milliseconds since the epoch, or {@link Long#MIN_VALUE} if no
	 * read reached the end
	 */
	long reachedEndAtMs() {
		return this.reachedEndAtMs;
	}

	/**
	 * Consumer of the pages.
	 */
	interface Reader {

		/**
		 * Returns the offset to read from.
		 * @return an offset
		 */
		long nextOffset();

		/**
		 * Takes a page.
		 * @param page the page
		 * @param nowMs the present time in milliseconds since the epoch
		 */
		void read(LogPage page, long nowMs);

	}

}
