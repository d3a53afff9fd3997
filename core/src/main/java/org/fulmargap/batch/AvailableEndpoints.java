package org.fulmargap.batch;

import java.util.HashMap;
import java.util.Map;

/**
 * Keeps the number of available endpoints of each stage service, in units of endpoints of
 * usual speed. The platform lists a crashed endpoint for some seconds more. Only the
 * coordinator of a service calls its endpoints and detects the crash at once, so it
 * reports the number of available endpoints to the other VMs. Confined to one thread.
 */
public final class AvailableEndpoints {

	/** How long a report is valid, in milliseconds: a few heartbeats. */
	private static final long REPORT_LIFETIME_MS = 1_500;

	private final Map<String, Report> reports = new HashMap<>();

	/**
	 * Replaces the report of a VM about the services that it coordinates.
	 * @param vm the name of the VM
	 * @param endpoints the number of available endpoints of usual speed, by service
	 * @param nowMs the current time in milliseconds
	 */
	public void recordReport(String vm, Map<String, Double> endpoints, long nowMs) {
		this.reports.put(vm, new Report(Map.copyOf(endpoints), nowMs));
	}

	/**
	 * Returns the number of available endpoints of a service.
	 * @param service the name of the service
	 * @param coordinator the name of the VM that makes the calls of the service
	 * @param listed the number of endpoints that the platform lists; it is an upper limit
	 * and the result if there is no valid report
	 * @param nowMs the current time in milliseconds
	 * @return the number of available endpoints, in units of endpoints of usual speed
	 */
	public double count(String service, String coordinator, int listed, long nowMs) {
		Report report = this.reports.get(coordinator);
		boolean fresh = report != null && nowMs - report.reportedAtMs() < REPORT_LIFETIME_MS;
		return (fresh) ? Math.min(listed, report.endpoints().getOrDefault(service, (double) listed)) : listed;
	}

	private record Report(Map<String, Double> endpoints, long reportedAtMs) {
	}

}
