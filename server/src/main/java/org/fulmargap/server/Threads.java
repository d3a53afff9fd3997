package org.fulmargap.server;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Thread pools of the entry VM.
 *
 * @param workers runs admitted requests, one per thread
 * @param callbacks continues requests after a claim decision or a refusal
 * @param timers runs short tasks after a delay
 */
record Threads(ExecutorService workers, ExecutorService callbacks, ScheduledExecutorService timers) {

	private static final int CALLBACK_THREADS = 4;

	static Threads create(int maxInFlight) {
		return new Threads(pool("worker", maxInFlight), pool("callback", CALLBACK_THREADS),
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
