package org.fulmargap.entry.request;

import java.util.HashMap;
import java.util.Map;

/**
 * The time that callers of each route give a request at first. A caller that comes back
 * after a refusal has less time left, which tells how long ago it first asked. Confined
 * to one thread.
 */
public final class CallerTimes {

	/** Differences up to this are the way of the request, in milliseconds. */
	private static final long TOLERANCE_MS = 40;

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
		return (elapsedMs > TOLERANCE_MS) ? elapsedMs : 0;
	}

}
