package org.fulmargap.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides whether this VM is cut off from all endpoints, by the connections that could
 * and could not be opened to them directly. Confined to one thread.
 */
public final class EndpointReach {

	/**
	 * The number of different endpoints that accept no connection before this VM counts
	 * as cut off.
	 */
	private static final int MIN_FAILED_ENDPOINTS = 3;

	/** The number of endpoints that are tried in one check. */
	private static final int CHECKED_ENDPOINTS = 3;

	/** With fewer endpoints listed, all of them have to fail, but not a single one. */
	private static final int MIN_LISTED_ENDPOINTS = 2;

	private final String ownDomain;

	// The addresses that failed since the last connection that was opened.
	private final Set<String> failed = new HashSet<>();

	private long connectedAtMs = Long.MIN_VALUE / 2;

	private boolean cutOff;

	private int choices;

	/**
	 * Creates an instance for a VM that is not cut off.
	 * @param ownDomain the failure domain of the VM
	 */
	public EndpointReach(String ownDomain) {
		this.ownDomain = ownDomain;
	}

	/**
	 * Records that a direct connection was opened.
	 * @param nowMs the current time in milliseconds
	 */
	public void connected(long nowMs) {
		this.connectedAtMs = nowMs;
		this.failed.clear();
		this.cutOff = false;
	}

	/**
	 * Records that a direct connection could not be opened.
	 * @param address the address of the endpoint
	 */
	public void failed(String address) {
		this.failed.add(address);
	}

	/**
	 * Records that a check has ended, and decides whether this VM is cut off. Failures
	 * alone don't decide it: endpoints may crash together.
	 * @param listedEndpoints the number of endpoints that are listed
	 */
	public void checked(int listedEndpoints) {
		int needed = Math.min(MIN_FAILED_ENDPOINTS, Math.max(MIN_LISTED_ENDPOINTS, listedEndpoints));
		this.cutOff = this.failed.size() >= needed;
	}

	/**
	 * Returns whether this VM is cut off.
	 * @return {@code true} if a check has found no endpoint that accepts connections, and
	 * none was reached since
	 */
	public boolean isCutOff() {
		return this.cutOff;
	}

	/**
	 * Returns whether a failure may mean that this VM is cut off, so that other endpoints
	 * should be tried.
	 * @param sinceMs when the connection that failed was begun, in milliseconds
	 * @return {@code false} if it is known to be cut off, or another connection was
	 * opened after that time
	 */
	public boolean needsCheck(long sinceMs) {
		return !this.cutOff && this.connectedAtMs <= sinceMs;
	}

	/**
	 * Chooses endpoints for a check: others than those that have failed, of different
	 * failure domains as far as possible, the own one first. Each call begins at another
	 * endpoint.
	 * @param endpoints the endpoints that may get work
	 * @return their addresses, empty if there is none that has not failed
	 */
	public List<String> checkTargets(Collection<Endpoint> endpoints) {
		List<EndpointRecord> untried = endpoints.stream()
			.map(Endpoint::record)
			.filter((record) -> !this.failed.contains(record.address()))
			.sorted(Comparator.comparing(EndpointRecord::address))
			.toList();
		List<EndpointRecord> rotated = new ArrayList<>();
		this.choices++;
		for (int i = 0; i < untried.size(); i++) {
			rotated.add(untried.get((this.choices + i) % untried.size()));
		}
		return ofDifferentDomains(rotated);
	}

	private List<String> ofDifferentDomains(List<EndpointRecord> records) {
		Map<String, EndpointRecord> firstByDomain = new LinkedHashMap<>();
		records.forEach((record) -> firstByDomain.putIfAbsent(record.failureDomain(), record));
		List<EndpointRecord> targets = new ArrayList<>(firstByDomain.values());
		targets.sort(Comparator.comparing((record) -> !record.failureDomain().equals(this.ownDomain)));
		records.stream().filter((record) -> !targets.contains(record)).forEach(targets::add);
		return targets.stream().limit(CHECKED_ENDPOINTS).map(EndpointRecord::address).toList();
	}

	/**
	 * Chooses the endpoint at which a VM that is cut off looks whether it still is.
	 * @param endpoints the endpoints that may get work
	 * @return its address, or an empty string if there is none
	 */
	public String retryTarget(List<Endpoint> endpoints) {
		this.choices++;
		return (endpoints.isEmpty()) ? "" : endpoints.get(this.choices % endpoints.size()).record().address();
	}

}
