package org.fulmargap.ledger;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Actions that are collected under a lock and run after the lock is released.
 */
final class DeferredActions {

	private static final Logger logger = LoggerFactory.getLogger(DeferredActions.class);

	private final List<Runnable> tasks = new ArrayList<>();

	private final List<Delayed> delayed = new ArrayList<>();

	<T> void complete(CompletableFuture<T> future, T value) {
		this.tasks.add(() -> future.complete(value));
	}

	void add(Runnable task) {
		this.tasks.add(task);
	}

	void schedule(long delayMs, Runnable task) {
		this.delayed.add(new Delayed(Math.max(0, delayMs), task));
	}

	void apply(TimerQueue timers) {
		this.delayed.forEach((entry) -> timers.schedule(entry.delayMs(), entry.task()));
		this.tasks.forEach(DeferredActions::run);
	}

	// A task that fails, for example a peer query, must not prevent the others from
	// running.
	private static void run(Runnable task) {
		try {
			task.run();
		}
		catch (RuntimeException ex) {
			logger.error("event=effect_failed", ex);
		}
	}

	/**
	 * A task with its delay.
	 *
	 * @param delayMs the delay in milliseconds
	 * @param task the task
	 */
	private record Delayed(long delayMs, Runnable task) {
	}

}
