package org.fulmargap.standin;

/**
 * Number of requests that an endpoint may run at the same time. It starts at an initial
 * value and doubles each time the endpoint has been busy for a given time. Not
 * thread-safe.
 */
final class Capacity {

	private final int initial;

	private final int max;

	private final long doublingMs;

	private int current;

	private long busyMs;

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
		this.busyMs = 0;
		this.busySinceMs = -1;
	}

	void started(long nowMs) {
		if (this.busySinceMs < 0) {
			this.busySinceMs = nowMs;
		}
	}

	/**
	 * Adds to the busy time and doubles the capacity when the busy time suffices.
	 * @param nowMs the current time in milliseconds
	 * @param running the number of requests that are still running
	 */
	void finished(long nowMs, int running) {
		if (this.busySinceMs >= 0) {
			this.busyMs += nowMs - this.busySinceMs;
			this.busySinceMs = (running > 0) ? nowMs : -1;
		}
		if (!isWarm() && this.busyMs >= this.doublingMs) {
			this.current = Math.min(this.max, this.current * 2);
			this.busyMs = 0;
		}
	}

}
