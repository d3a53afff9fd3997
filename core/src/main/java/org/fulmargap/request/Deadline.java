package org.fulmargap.request;

/**
 * Point in time after which the caller no longer needs an answer.
 *
 * @param atMs the deadline in milliseconds since the epoch
 */
public record Deadline(long atMs) {

	/**
	 * Creates a deadline relative to the current time.
	 * @param nowMs the current time in milliseconds since the epoch
	 * @param durationMs the time until the deadline in milliseconds, positive
	 * @return the deadline
	 * @throws IllegalArgumentException if the duration is not positive
	 */
	public static Deadline after(long nowMs, long durationMs) {
		if (durationMs <= 0) {
			throw new IllegalArgumentException("durationMs must be positive: " + durationMs);
		}
		return new Deadline(nowMs + durationMs);
	}

	/**
	 * Returns the time until the deadline.
	 * @param nowMs the current time in milliseconds since the epoch
	 * @return the remaining time in milliseconds, zero if the deadline has passed
	 */
	public long remainingMs(long nowMs) {
		return Math.max(0, this.atMs - nowMs);
	}

	/**
	 * Returns whether the deadline has passed.
	 * @param nowMs the current time in milliseconds since the epoch
	 * @return {@code true} if no time remains
	 */
	public boolean isPassed(long nowMs) {
		return nowMs >= this.atMs;
	}

}
