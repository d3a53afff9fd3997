package org.fulmargap.entry.request;

import java.util.HashMap;
import java.util.Map;

/**
 * The average duration of calls to each service, as an exponential moving average.
 * Confined to one thread.
 */
public final class ServiceTimes {

	private static final double NEWEST_WEIGHT = 0.05;

	private final Map<String, Double> averageMs = new HashMap<>();

	/**
	 * Records a successful call.
	 * @param service the name of the service
	 * @param measuredMs the duration of the call in milliseconds
	 */
	public void record(String service, double measuredMs) {
		this.averageMs.merge(service, measuredMs, (average, newest) -> average + NEWEST_WEIGHT * (newest - average));
	}

	/**
	 * Returns the average duration of a call.
	 * @param service the name of the service
	 * @return the duration in milliseconds; 0 if no call was recorded
	 */
	public double expectedMs(String service) {
		return this.averageMs.getOrDefault(service, 0.0);
	}

}
