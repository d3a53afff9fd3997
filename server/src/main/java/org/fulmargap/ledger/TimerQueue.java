package org.fulmargap.ledger;

/**
 * Runs tasks after a delay.
 */
@FunctionalInterface
public interface TimerQueue {

	/**
	 * Schedules a task.
	 * @param delayMs the delay in milliseconds, not negative
	 * @param task the task; it must not block
	 */
	void schedule(long delayMs, Runnable task);

}
