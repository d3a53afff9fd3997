package org.fulmargap.standin;

/**
 * Capacity of an endpoint, which starts small and doubles with work. Not safe for
 * concurrent use.
 */
final class Capacity {

	private final int initial;

	private final int max;

	private final long doublingMs;

	private int current;

	private long workedMs;

	private long busySinceMs = -1;

	Capacity(int initial, int max, long doublingMs) {
		this.initial = initial;
		this.max = max;
		this.doublingMs = doublingMs;
		this.current = initial;
	}

	int current() {
		return this.current;
	}

	boolean isWarm() {
		return this.current >= this.max;
	}

	void becomeCold() {
		this.current = this.initial;
		this.workedMs = 0;
		this.busySinceMs = -1;
	}

	void started(long nowMs) {
		if (this.busySinceMs < 0) {
			this.busySinceMs = nowMs;
		}
	}

	/**
	 * Counts the time worked and doubles the capacity when it suffices.
	 * @param nowMs the present time in milliseconds
	 * @param running the number of requests that are still running
	 */
	void finished(long nowMs, int running) {
		if (this.busySinceMs >= 0) {
			this.workedMs += nowMs - this.busySinceMs;
			this.busySinceMs = (running > 0) ? nowMs : -1;
		}
		if (!isWarm() && this.workedMs >= this.doublingMs) {
			this.current = Math.min(this.max, this.current * 2);
			this.workedMs = 0;
		}
	}

}
