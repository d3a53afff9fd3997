package org.fulmargap.bench;

import java.util.PriorityQueue;

/**
 * Virtual clock of a discrete-event simulation. Tasks run in the order of their times;
 * tasks with equal times run in the order in which they were scheduled.
 */
final class VirtualClock {

	private final PriorityQueue<Task> tasks = new PriorityQueue<>();

	private long nowMs;

	private long sequence;

	long nowMs() {
		return this.nowMs;
	}

	void scheduleAt(long atMs, Runnable action) {
		this.tasks.add(new Task(Math.max(atMs, this.nowMs), this.sequence++, action));
	}

	void scheduleAfter(long delayMs, Runnable action) {
		scheduleAt(this.nowMs + delayMs, action);
	}

	void scheduleEvery(long periodMs, long untilMs, Runnable action) {
		if (this.nowMs < untilMs) {
			action.run();
			scheduleAfter(periodMs, () -> scheduleEvery(periodMs, untilMs, action));
		}
	}

	void run() {
		for (Task task = this.tasks.poll(); task != null; task = this.tasks.poll()) {
			this.nowMs = task.atMs;
			task.action.run();
		}
	}

	private record Task(long atMs, long sequence, Runnable action) implements Comparable<Task> {

		@Override
		public int compareTo(Task other) {
			int byTime = Long.compare(this.atMs, other.atMs);
			return (byTime != 0) ? byTime : Long.compare(this.sequence, other.sequence);
		}

	}

}
