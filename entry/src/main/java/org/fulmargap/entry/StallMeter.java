package org.fulmargap.entry;

/**
 * Measures how long an event loop has not run its tasks, by a task that runs at a fixed
 * interval. What the loop reads while that task is overdue may have lain unread for as
 * long. Confined to one thread.
 */
final class StallMeter {

	/** The time between two ticks of a loop that is not stalled, in milliseconds. */
	static final long INTERVAL_MS = 50;

	/**
	 * The shortest delay of a tick that counts, in milliseconds: a process that uses up
	 * its share of the processor rests for most of a period of 100 ms.
	 */
	private static final long MIN_STALL_MS = 100;

	private boolean started;

	private long lastTickMs;

	private long lastStallMs;

	private boolean unpolled;

	/**
	 * Records a tick.
	 * @param nowMs the current time in milliseconds
	 * @return how long the loop was stalled before it, in milliseconds; 0 if it was not
	 */
	long ticked(long nowMs) {
		this.lastStallMs = stallMs(nowMs);
		this.lastTickMs = nowMs;
		this.started = true;
		this.unpolled = this.lastStallMs > 0;
		return this.lastStallMs;
	}

	/**
	 * Records that the loop has read what had arrived at a late tick.
	 * @param tickMs the time of the tick in milliseconds
	 */
	void polled(long tickMs) {
		if (tickMs == this.lastTickMs) {
			this.unpolled = false;
		}
	}

	/**
	 * Returns how long what is read now may have lain unread. A loop may run the overdue
	 * tick first and read then.
	 * @param nowMs the current time in milliseconds
	 * @return the time in milliseconds; 0 if the loop was not stalled
	 */
	long unreadMs(long nowMs) {
		return (this.unpolled) ? this.lastStallMs + nowMs - this.lastTickMs : stallMs(nowMs);
	}

	private long stallMs(long nowMs) {
		long overdueMs = nowMs - this.lastTickMs - INTERVAL_MS;
		return (this.started && overdueMs >= MIN_STALL_MS) ? overdueMs : 0;
	}

	/**
	 * Returns how long the loop was stalled until now or until its last tick. Some of
	 * what arrived meanwhile may still be unread.
	 * @param nowMs the current time in milliseconds
	 * @return the time in milliseconds; 0 if neither this tick nor the last one is late
	 */
	long recentStallMs(long nowMs) {
		return Math.max(this.lastStallMs, stallMs(nowMs));
	}

}
