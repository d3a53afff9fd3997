package org.fulmargap.fleet;

import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import org.fulmargap.placement.Brittleness;
import org.fulmargap.placement.EndpointProcess;
import org.fulmargap.placement.NamedLimit;

/**
 * The newest load report of each VM from which this one receives heartbeats, and their
 * sums for those that rely on this VM. Confined to one thread.
 */
public final class LoadReports {

	/** How long a report is valid, in milliseconds: a few heartbeats. */
	private static final long REPORT_LIFETIME_MS = 1_500;

	private final Map<String, Received> reports = new HashMap<>();

	/**
	 * Replaces the report of a VM.
	 * @param vm the name of the VM
	 * @param report its newest report
	 * @param nowMs the current time in milliseconds
	 */
	public void put(String vm, LoadReport report, long nowMs) {
		this.reports.put(vm, new Received(report, nowMs));
	}

	/**
	 * Deletes the report of a VM.
	 * @param vm the name of the VM
	 * @return whether there was one
	 */
	public boolean remove(String vm) {
		return this.reports.remove(vm) != null;
	}

	/**
	 * Returns the VMs with a report.
	 * @return a copy of their names
	 */
	public Set<String> vms() {
		return new TreeSet<>(this.reports.keySet());
	}

	/**
	 * Adds up reports.
	 * @param own the load of this VM
	 * @param vms the VMs whose reports are added if they are recent
	 * @param nowMs the current time in milliseconds
	 * @return the sum
	 */
	public LoadReport sum(LoadReport own, Collection<String> vms, long nowMs) {
		Map<String, EndpointLoad> loads = new HashMap<>(own.loads());
		Map<String, int[]> admitted = new HashMap<>();
		Map<String, Map<String, Double>> available = new HashMap<>(own.availableEndpoints());
		Set<EndpointProcess> leaving = new HashSet<>(own.leaving());
		Map<EndpointProcess, NamedLimit> limits = new HashMap<>(own.limits());
		Map<EndpointProcess, Brittleness> brittle = new HashMap<>(own.brittle());
		RolloutExchange rollouts = own.rollouts();
		own.admittedItems().forEach((service, items) -> admitted.put(service, items.clone()));
		for (String vm : vms) {
			Received received = this.reports.get(vm);
			if (received == null || nowMs - received.receivedAtMs() >= REPORT_LIFETIME_MS) {
				continue;
			}
			LoadReport report = received.report();
			report.loads().forEach((endpoint, load) -> loads.merge(endpoint, load, EndpointLoad::plus));
			report.admittedItems().forEach((service, items) -> admitted.merge(service, items, LoadReports::add));
			available.putAll(report.availableEndpoints());
			leaving.addAll(report.leaving());
			rollouts = rollouts.plus(report.rollouts());
			report.limits().forEach((process, limit) -> limits.merge(process, limit, NamedLimit::newest));
			report.brittle().forEach((process, observed) -> brittle.merge(process, observed, Brittleness::newest));
		}
		return new LoadReport(loads, admitted, available, leaving, limits, rollouts, brittle);
	}

	private static int[] add(int[] sum, int[] items) {
		int[] added = (sum.length >= items.length) ? sum.clone() : Arrays.copyOf(sum, items.length);
		for (int i = 0; i < items.length; i++) {
			added[i] += items[i];
		}
		return added;
	}

	private record Received(LoadReport report, long receivedAtMs) {
	}

}
