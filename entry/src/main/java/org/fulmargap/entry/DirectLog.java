package org.fulmargap.entry;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Writes the lines about the start and the end of the process to standard error. They
 * must be written before the process ends, and must not keep it from ending when standard
 * error is a pipe that nobody reads.
 */
final class DirectLog {

	/** The number of lines that wait to be written; further ones are dropped. */
	private static final int QUEUE_LINES = 64;

	/** How long a caller waits for its line to be written, in milliseconds. */
	private static final long MAX_WAIT_MS = 500;

	// The thread exists before the process runs out of memory for a new one.
	static final DirectLog STANDARD_ERROR = new DirectLog(new FileOutputStream(FileDescriptor.err));

	private final OutputStream output;

	private final BlockingQueue<Entry> queue = new ArrayBlockingQueue<>(QUEUE_LINES);

	/**
	 * Creates a log with a thread that writes its lines.
	 * @param output takes the lines, and may block for ever
	 */
	DirectLog(OutputStream output) {
		this.output = output;
		Thread writer = new Thread(this::run, "direct-log");
		writer.setDaemon(true);
		writer.start();
	}

	/**
	 * Writes a line, soon and without blocking.
	 * @param line the line without its end
	 */
	void write(String line) {
		add(line);
	}

	/**
	 * Writes a line and waits until it is written, for a bounded time.
	 * @param line the line without its end
	 */
	void writeAndWait(String line) {
		try {
			add(line).await(MAX_WAIT_MS, TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private CountDownLatch add(String line) {
		Entry entry = new Entry(line, new CountDownLatch(1));
		if (!this.queue.offer(entry)) {
			entry.written.countDown();
		}
		return entry.written;
	}

	private void run() {
		try {
			while (true) {
				Entry entry = this.queue.take();
				print(entry.line);
				entry.written.countDown();
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void print(String line) {
		try {
			this.output.write((line + '\n').getBytes(StandardCharsets.UTF_8));
		}
		catch (IOException ex) {
			// Standard error is closed or full; the process goes on without it.
		}
	}

	private record Entry(String line, CountDownLatch written) {
	}

}
