package org.fulmargap.entry.request;

/**
 * The time at which a request ends.
 *
 * @param atMs the time in milliseconds
 */
record Deadline(long atMs) {

	/**
	 * Determines the deadline of a request.
	 * @param statedMs how long its caller waits, as it states, in milliseconds; negative
	 * if it does not
	 * @param routeMs the time limit of the route in milliseconds
	 * @param waitedMs how long ago the request arrived, in milliseconds
	 * @param nowMs the current time in milliseconds
	 * @return the deadline, which may have passed
	 */
	static Deadline of(long statedMs, long routeMs, long waitedMs, long nowMs) {
		return new Deadline(nowMs + ((statedMs >= 0) ? Math.min(statedMs - waitedMs, routeMs) : routeMs));
	}

	/**
	 * Returns the time that is left.
	 * @param nowMs the current time in milliseconds
	 * @return the time in milliseconds; negative after the deadline
	 */
	long leftMs(long nowMs) {
		return this.atMs - nowMs;
	}

	/**
	 * Returns whether no time is left.
	 * @param nowMs the current time in milliseconds
	 * @return {@code true} if the request must not be sent any more
	 */
	boolean isPassed(long nowMs) {
		return leftMs(nowMs) < 1;
	}

}
