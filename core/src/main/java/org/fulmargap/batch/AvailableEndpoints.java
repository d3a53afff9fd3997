package org.fulmargap.batch;

import java.util.HashMap;
import java.util.Map;

/**
 * How many endpoints of each stage service work, in units of endpoints of usual speed. An
 * endpoint that crashed stays listed for seconds; only the VM in charge of a service
 * calls its endpoints and notices at once, so it tells the others. Confined to one
 * thread.
 */
public final class AvailableEndpoints {

	/** A report counts for this time, in milliseconds: a few heartbeats. */
	private static final long REPORT_LIFETIME_MS = 1_500;

	private final Map<String, Report> reports = new HashMap<>();

	/**
	 * Takes over what a VM reports of the services that it is in charge of.
	 * @param vm the name of the VM
	 * @param endpoints the endpoints by service
	 * @param nowMs the present time in milliseconds
	 */
	public void recordReport(String vm, Map<String, Double> endpoints, long nowMs) {
		this.reports.put(vm, new Report(Map.copyOf(endpoints), nowMs));
	}

	/**
	 * Returns the endpoints of a service that work.
	 * @param service the name of the service
	 * @param coordinator the VM that makes the calls of the service
	 * @param listed the endpoints that the platform lists, which count without a report
	 * @param nowMs the present time in milliseconds
	 * @return the number of endpoints of usual speed
	 */
	public double count(String service, String coordinator, int listed, long nowMs) {
		Report report = this.reports.get(coordinator);
		boolean fresh = report != null && nowMs - report.reportedAtMs() < REPORT_LIFETIME_MS;
		return (fresh) ? Math.min(listed, report.endpoints().getOrDefault(service, (double) listed)) : listed;
	}

	private record Report(Map<String, Double> endpoints, long reportedAtMs) {
	}

}
