package org.fulmargap.entry.request;

import java.util.HashMap;
import java.util.Map;

/**
 * The longest time that callers of each route allow for a request. A caller that retries
 * after a refusal has less time left, so the difference shows how long ago it sent its
 * first attempt. The times of first attempts differ too, so only a clearly shorter time
 * counts as a retry. Confined to one thread.
 */
public final class CallerTimes {

	/**
	 * The share of the longest time by which the times of first attempts differ, as
	 * observed on the users' standard days.
	 */
	private static final double FIRST_ATTEMPT_SPREAD = 0.16;

	private final Map<String, Long> longestMsByRoute = new HashMap<>();

	/**
	 * Records a request and estimates how long ago its caller sent the first attempt.
	 * @param route the name of the route
	 * @param timeLeftMs how long the caller still waits, in milliseconds; negative if not
	 * stated
	 * @return the time in milliseconds; 0 for a first attempt or if no time is stated
	 */
	public long elapsedMs(String route, long timeLeftMs) {
		if (timeLeftMs < 0) {
			return 0;
		}
		long longestTimeMs = this.longestMsByRoute.merge(route, timeLeftMs, Math::max);
		long elapsedMs = longestTimeMs - timeLeftMs;
		double spreadMs = longestTimeMs * FIRST_ATTEMPT_SPREAD;
		// The first attempt is assumed to have had a time in the middle of the spread.
		return (elapsedMs > spreadMs) ? Math.round(elapsedMs - spreadMs / 2) : 0;
	}

}
