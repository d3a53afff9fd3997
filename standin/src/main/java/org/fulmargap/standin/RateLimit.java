package org.fulmargap.standin;

/**
 * Token bucket that limits the rate of appends. The bucket holds the tokens of a tenth of
 * a second, and at least one.
 */
final class RateLimit {

	private final double perSecond;

	private final double burst;

	private double tokens;

	private long refilledAtNs;

	RateLimit(double perSecond, long nowNs) {
		this.perSecond = perSecond;
		this.burst = Math.max(1, perSecond / 10);
		this.tokens = this.burst;
		this.refilledAtNs = nowNs;
	}

	synchronized boolean tryAcquire(long nowNs) {
		this.tokens = Math.min(this.burst, this.tokens + (nowNs - this.refilledAtNs) * this.perSecond / 1e9);
		this.refilledAtNs = nowNs;
		if (this.tokens < 1) {
			return false;
		}
		this.tokens--;
		return true;
	}

}
