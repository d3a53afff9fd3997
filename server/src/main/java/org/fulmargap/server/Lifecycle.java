package org.fulmargap.server;

/**
 * State of the process between start and stop.
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
	 * Tells whether new requests are refused. For a while after the shutdown has begun
	 * they are accepted, because load balancers notice it late.
	 * @param nowMs the present time in milliseconds since the epoch
	 * @return {@code true} once the notice time is over
	 */
	boolean refusesRequests(long nowMs) {
		return isDraining() && nowMs - this.drainingSinceMs >= this.drainNoticeMs;
	}

}
