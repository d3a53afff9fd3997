package org.fulmargap.server;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The thread pools of the entry VM.
 *
 * @param workers run admitted requests, one thread for each
 * @param callbacks go on with requests after a claim or a refusal
 * @param timers run short tasks after a delay
 */
record Threads(ExecutorService workers, ExecutorService callbacks, ScheduledExecutorService timers) {

	private static final int CALLBACKS = 4;

	static Threads create(int maxInFlight) {
		return new Threads(pool("worker", maxInFlight), pool("callback", CALLBACKS),
				Executors.newSingleThreadScheduledExecutor((task) -> {
					Thread thread = new Thread(task, "timer");
					thread.setDaemon(true);
					return thread;
				}));
	}

	private static ExecutorService pool(String name, int size) {
		AtomicInteger number = new AtomicInteger();
		ThreadPoolExecutor pool = new ThreadPoolExecutor(size, size, 10, TimeUnit.SECONDS, new LinkedBlockingQueue<>(),
				(task) -> {
					Thread thread = new Thread(task, name + "-" + number.incrementAndGet());
					thread.setDaemon(true);
					return thread;
				});
		pool.allowCoreThreadTimeOut(true);
		return pool;
	}

	void stop() {
		this.workers.shutdownNow();
		this.callbacks.shutdownNow();
		this.timers.shutdownNow();
	}

}
