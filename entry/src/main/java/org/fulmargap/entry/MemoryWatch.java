package org.fulmargap.entry;

import java.util.function.LongSupplier;

/**
 * Reports the memory of this process, and what answers and requests hold of it, so that
 * an end for want of memory can be traced to its cause. It has a thread of its own,
 * because an event loop that fills the heap runs nothing else meanwhile.
 */
final class MemoryWatch implements AutoCloseable {

	private static final long INTERVAL_MS = 100;

	/** The least time between two log lines, in milliseconds. */
	private static final long LOG_INTERVAL_MS = 2_000;

	/** The share of the heap from which on it is logged, garbage included. */
	private static final double LOGGED_SHARE = 0.85;

	private static final long BYTES_PER_KB = 1_000;

	private final LongSupplier clockMs;

	private final EntryMetrics metrics;

	private final LongSupplier answerBytes;

	private final LongSupplier requestBytes;

	private final Thread thread = new Thread(this::run, "memory-watch");

	private long loggedAtMs = Long.MIN_VALUE / 2;

	/**
	 * Creates a watch that reports after its start.
	 * @param clockMs the current time in milliseconds
	 * @param metrics receives the gauges
	 * @param answerBytes what answers of endpoints hold, in bytes; may be read late
	 * @param requestBytes what bodies of requests hold, in bytes; may be read late
	 */
	MemoryWatch(LongSupplier clockMs, EntryMetrics metrics, LongSupplier answerBytes, LongSupplier requestBytes) {
		this.clockMs = clockMs;
		this.metrics = metrics;
		this.answerBytes = answerBytes;
		this.requestBytes = requestBytes;
		this.thread.setDaemon(true);
	}

	/**
	 * Starts to report.
	 */
	void start() {
		this.thread.start();
	}

	private void run() {
		try {
			while (true) {
				check(this.clockMs.getAsLong());
				Thread.sleep(INTERVAL_MS);
			}
		}
		catch (InterruptedException ex) {
			// The watch was closed.
		}
	}

	private void check(long nowMs) {
		Runtime runtime = Runtime.getRuntime();
		long heapBytes = runtime.totalMemory() - runtime.freeMemory();
		this.metrics.gauge("heap_used_kb", inKb(heapBytes));
		this.metrics.gauge("answers_held_kb", inKb(this.answerBytes.getAsLong()));
		this.metrics.gauge("requests_held_kb", inKb(this.requestBytes.getAsLong()));
		if (heapBytes >= runtime.maxMemory() * LOGGED_SHARE && nowMs - this.loggedAtMs >= LOG_INTERVAL_MS) {
			this.loggedAtMs = nowMs;
			log(heapBytes, runtime.maxMemory());
		}
	}

	private void log(long heapBytes, long maxBytes) {
		EventLog.state("memory_short")
			.with("heap_kb", inKb(heapBytes))
			.with("max_kb", inKb(maxBytes))
			.with("answers_kb", inKb(this.answerBytes.getAsLong()))
			.with("requests_kb", inKb(this.requestBytes.getAsLong()))
			.writeDirect();
	}

	private static int inKb(long bytes) {
		return (int) (bytes / BYTES_PER_KB);
	}

	@Override
	public void close() {
		this.thread.interrupt();
	}

}
