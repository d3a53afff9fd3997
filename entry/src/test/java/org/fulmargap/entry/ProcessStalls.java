package org.fulmargap.entry;

/**
 * Measures how late a thread of this process runs. A test whose time bound was broken
 * prints it, to tell a late VM from a process that got no processor.
 */
final class ProcessStalls implements AutoCloseable {

	private static final long SLEEP_MS = 10;

	private final Thread thread = new Thread(this::measure, "process-stalls");

	private volatile long longestMs;

	private volatile boolean closed;

	ProcessStalls() {
		this.thread.setDaemon(true);
		this.thread.start();
	}

	private void measure() {
		while (!this.closed) {
			long startedAtMs = System.currentTimeMillis();
			try {
				Thread.sleep(SLEEP_MS);
			}
			catch (InterruptedException ex) {
				return;
			}
			this.longestMs = Math.max(this.longestMs, System.currentTimeMillis() - startedAtMs - SLEEP_MS);
		}
	}

	/**
	 * Returns the longest delay so far.
	 * @return the time in milliseconds
	 */
	long longestMs() {
		return this.longestMs;
	}

	@Override
	public void close() {
		this.closed = true;
		this.thread.interrupt();
	}

}
