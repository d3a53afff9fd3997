package org.fulmargap.bench;

import java.util.PriorityQueue;

/**
 * Virtual time. Tasks run in the order of their times, and of their scheduling when the
 * times are equal.
 */
final class Clock {

	private final PriorityQueue<Task> tasks = new PriorityQueue<>();

	private long nowMs;

	private long sequence;

	long nowMs() {
		return this.nowMs;
	}

	void at(long atMs, Runnable action) {
		this.tasks.add(new Task(Math.max(atMs, this.nowMs), this.sequence++, action));
	}

	void after(long delayMs, Runnable action) {
		at(this.nowMs + delayMs, action);
	}

	void every(long periodMs, long untilMs, Runnable action) {
		if (this.nowMs < untilMs) {
			action.run();
			after(periodMs, () -> every(periodMs, untilMs, action));
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
