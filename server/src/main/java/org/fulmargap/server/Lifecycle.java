package org.fulmargap.server;

/**
 * Lifecycle state of the entry VM: running or draining.
 */
final class Lifecycle {

	private volatile long drainingSinceMs = Long.MAX_VALUE;

	private final long drainNoticeMs;

	Lifecycle(long drainNoticeMs) {
		this.drainNoticeMs = drainNoticeMs;
	}

	void drain(long nowMs) {
		this.drainingSinceMs = nowMs;
	}

	boolean isDraining() {
		return this.drainingSinceMs != Long.MAX_VALUE;
	}

	/**
	 * Returns whether new requests are refused. They are still accepted during the notice
	 * time after the shutdown has begun, because load balancers detect it with a delay.
	 * @param nowMs the current time in milliseconds since the epoch
	 * @return {@code true} when the notice time has passed
	 */
	boolean refusesRequests(long nowMs) {
		return isDraining() && nowMs - this.drainingSinceMs >= this.drainNoticeMs;
	}

}
