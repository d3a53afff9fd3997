package org.fulmargap.entry.request;

import java.util.HashMap;
import java.util.Map;

/**
 * The usual time of a call to each service, as a moving average. Confined to one thread.
 */
public final class ServiceTimes {

	private static final double NEWEST_WEIGHT = 0.05;

	private final Map<String, Double> averageMs = new HashMap<>();

	/**
	 * Records a call that went well.
	 * @param service the service
	 * @param measuredMs the time of the call in milliseconds
	 */
	public void record(String service, double measuredMs) {
		this.averageMs.merge(service, measuredMs, (known, newest) -> known + NEWEST_WEIGHT * (newest - known));
	}

	/**
	 * Returns the usual time of a call.
	 * @param service the service
	 * @return the time in milliseconds; 0 if no call is known
	 */
	public double expectedMs(String service) {
		return this.averageMs.getOrDefault(service, 0.0);
	}

}
