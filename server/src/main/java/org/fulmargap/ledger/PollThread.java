package org.fulmargap.ledger;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.LongSupplier;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Thread that runs a task repeatedly. The task returns when its next run is due, in
 * milliseconds since the epoch; {@link #wake()} runs it earlier.
 */
final class PollThread implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(PollThread.class);

	private final ReentrantLock lock = new ReentrantLock();

	private final Condition changed = this.lock.newCondition();

	private final Thread thread;

	private final LongSupplier clock;

	private final LongSupplier task;

	private boolean woken;

	private boolean closed;

	PollThread(String name, LongSupplier clock, LongSupplier task) {
		this.clock = clock;
		this.task = task;
		this.thread = new Thread(this::run, name);
		this.thread.setDaemon(true);
	}

	void start() {
		this.thread.start();
	}

	void wake() {
		this.lock.lock();
		try {
			this.woken = true;
			this.changed.signal();
		}
		finally {
			this.lock.unlock();
		}
	}

	@Override
	public void close() {
		this.lock.lock();
		try {
			this.closed = true;
			this.changed.signal();
		}
		finally {
			this.lock.unlock();
		}
	}

	private void run() {
		long dueAtMs = this.clock.getAsLong();
		while (await(dueAtMs)) {
			try {
				dueAtMs = this.task.getAsLong();
			}
			catch (RuntimeException ex) {
				logger.error("event=pump_failed thread={}", this.thread.getName(), ex);
				dueAtMs = this.clock.getAsLong() + 1_000;
			}
		}
	}

	private boolean await(long dueAtMs) {
		this.lock.lock();
		try {
			long waitMs = dueAtMs - this.clock.getAsLong();
			while (!this.closed && !this.woken && waitMs > 0) {
				this.changed.await(waitMs, TimeUnit.MILLISECONDS);
				waitMs = dueAtMs - this.clock.getAsLong();
			}
			this.woken = false;
			return !this.closed;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
		finally {
			this.lock.unlock();
		}
	}

}
