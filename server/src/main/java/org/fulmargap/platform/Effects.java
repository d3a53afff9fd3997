package org.fulmargap.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Effects that a decision under a lock has outside of it.
 */
final class Effects {

	private final List<Runnable> tasks = new ArrayList<>();

	private final List<Delayed> delayed = new ArrayList<>();

	<T> void complete(CompletableFuture<T> future, T value) {
		this.tasks.add(() -> future.complete(value));
	}

	void run(Runnable task) {
		this.tasks.add(task);
	}

	void after(long delayMs, Runnable task) {
		this.delayed.add(new Delayed(Math.max(0, delayMs), task));
	}

	void apply(TimerQueue timers) {
		this.delayed.forEach((entry) -> timers.schedule(entry.delayMs(), entry.task()));
		this.tasks.forEach(Runnable::run);
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
