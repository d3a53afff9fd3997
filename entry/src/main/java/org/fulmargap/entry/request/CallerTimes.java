package org.fulmargap.entry.request;

import java.util.HashMap;
import java.util.Map;

/**
 * The time that callers of each route give a request at first. A caller that comes back
 * after a refusal has less time left, which tells how long ago it first asked. Callers
 * differ in the time that they give, so that only a clearly shorter time tells of a
 * return. Confined to one thread.
 */
public final class CallerTimes {

	/**
	 * The part of the longest time by which first requests differ, as seen on the users'
	 * standard days.
	 */
	private static final double FIRST_TIMES_SPREAD = 0.16;

	private final Map<String, Long> longestMs = new HashMap<>();

	/**
	 * Records a request and tells how long ago its caller first asked.
	 * @param route the name of the route
	 * @param timeLeftMs how long the caller still waits, in milliseconds
	 * @return the time in milliseconds; 0 for a first request
	 */
	public long elapsedMs(String route, long timeLeftMs) {
		if (timeLeftMs < 0) {
			return 0;
		}
		long firstMs = this.longestMs.merge(route, timeLeftMs, Math::max);
		long elapsedMs = firstMs - timeLeftMs;
		double spreadMs = firstMs * FIRST_TIMES_SPREAD;
		return (elapsedMs > spreadMs) ? Math.round(elapsedMs - spreadMs / 2) : 0;
	}

}
