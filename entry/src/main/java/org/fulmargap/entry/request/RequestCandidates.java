package org.fulmargap.entry.request;

import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.fulmargap.placement.Endpoint;

/**
 * The endpoints to which one request may be sent. Confined to the event loop.
 */
final class RequestCandidates {

	private final RequestServices services;

	private final String service;

	private final int priority;

	private final Set<String> tried = new HashSet<>();

	// The only version that may get the request; null if all may.
	private String softwareVersion;

	RequestCandidates(RequestServices services, String service, int priority) {
		this.services = services;
		this.service = service;
		this.priority = priority;
	}

	/**
	 * Returns the endpoints that may get the request, those included that it has tried.
	 * @param nowMs the current time in milliseconds
	 * @return the endpoints
	 */
	List<Endpoint> available(long nowMs) {
		List<Endpoint> available = this.services.view().directory().available(this.service, nowMs);
		return (this.softwareVersion != null) ? available.stream().filter(this::hasVersion).toList() : available;
	}

	private boolean hasVersion(Endpoint endpoint) {
		return endpoint.record().softwareVersion().equals(this.softwareVersion);
	}

	/**
	 * Restricts the request to endpoints of one software version, because what another
	 * one would write doesn't continue its stream.
	 * @param version the version
	 */
	void restrictTo(String version) {
		this.softwareVersion = version;
	}

	/**
	 * Returns whether the request is restricted to a software version that no available
	 * endpoint has.
	 * @param nowMs the current time in milliseconds
	 * @return {@code true} if waiting for an endpoint makes no sense
	 */
	boolean lackVersion(long nowMs) {
		return this.softwareVersion != null && available(nowMs).isEmpty();
	}

	/**
	 * Returns the available endpoints to which this VM may send now, given the limits
	 * that they named.
	 * @param nowMs the current time in milliseconds
	 * @return the endpoints
	 */
	List<Endpoint> sendable(long nowMs) {
		return this.services.limits().sendable(available(nowMs), this.priority, nowMs);
	}

	/**
	 * Returns the available endpoints that the request has not tried.
	 * @param nowMs the current time in milliseconds
	 * @return the endpoints
	 */
	List<Endpoint> untried(long nowMs) {
		return available(nowMs).stream().filter((endpoint) -> !this.tried.contains(endpoint.record().id())).toList();
	}

	/**
	 * Returns whether another endpoint could take over a call that is given up now.
	 * @param called the endpoint of the call
	 * @param nowMs the current time in milliseconds
	 * @return {@code true} if there is one
	 */
	boolean hasOther(Endpoint called, long nowMs) {
		return sendable(nowMs).stream()
			.anyMatch((endpoint) -> endpoint != called && !this.tried.contains(endpoint.record().id())
					&& !endpoint.isSuspended(nowMs));
	}

	/**
	 * Returns the time until this VM may send to one of the endpoints, if all have
	 * limits.
	 * @param nowMs the current time in milliseconds
	 * @return the time in milliseconds; 0 if it may send now
	 */
	long limitWaitMs(long nowMs) {
		return this.services.limits().waitMs(available(nowMs), this.priority, nowMs);
	}

	/**
	 * Records that the request must not be sent to an endpoint again.
	 * @param endpoint the name of the endpoint
	 */
	void addTried(String endpoint) {
		this.tried.add(endpoint);
	}

	/**
	 * Returns the endpoints that the request has tried.
	 * @return their names, as a read-only view
	 */
	Set<String> tried() {
		return Collections.unmodifiableSet(this.tried);
	}

}
