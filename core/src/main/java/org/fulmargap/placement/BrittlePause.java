package org.fulmargap.placement;

/**
 * How much less this VM sends to an endpoint that rejected requests.
 */
final class BrittlePause {

	/**
	 * How long a pause takes, in milliseconds: the second in which rejections count, and
	 * the time that a request and its rejection may be on their way.
	 */
	static final long PAUSE_MS = 1_250;

	private long untilMs = Long.MIN_VALUE;

	private long fewerUntilMs = Long.MIN_VALUE;

	private long surplusUntilMs = Long.MIN_VALUE;

	/**
	 * Records a rejection of a request within the own slots. The first one shows that one
	 * place is missing, another one soon after it that there may be no room at all.
	 * @param nowMs the current time in milliseconds
	 */
	void ownRejected(long nowMs) {
		if (nowMs < this.fewerUntilMs) {
			stop(nowMs);
		}
		this.fewerUntilMs = nowMs + PAUSE_MS;
		surplusRejected(nowMs);
	}

	/**
	 * Starts a time in which the endpoint gets nothing.
	 * @param nowMs the current time in milliseconds
	 */
	void stop(long nowMs) {
		this.untilMs = nowMs + PAUSE_MS;
	}

	/**
	 * Records a rejection of a request above the own slots.
	 * @param nowMs the current time in milliseconds
	 */
	void surplusRejected(long nowMs) {
		this.surplusUntilMs = nowMs + PAUSE_MS;
	}

	/**
	 * Returns the places that this VM doesn't use.
	 * @param nowMs the current time in milliseconds
	 * @return the number of its own slots
	 */
	int missing(long nowMs) {
		return (nowMs < this.fewerUntilMs) ? 1 : 0;
	}

	/**
	 * Returns how long the endpoint gets nothing.
	 * @param nowMs the current time in milliseconds
	 * @return the time in milliseconds, 0 if it is over
	 */
	long leftMs(long nowMs) {
		return (this.untilMs > nowMs) ? this.untilMs - nowMs : 0;
	}

	boolean isSurplusPaused(long nowMs) {
		return nowMs < this.surplusUntilMs;
	}

	void clear() {
		this.untilMs = Long.MIN_VALUE;
		this.fewerUntilMs = Long.MIN_VALUE;
		this.surplusUntilMs = Long.MIN_VALUE;
	}

}
