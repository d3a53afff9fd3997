package org.fulmargap.entry.request;

import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.fulmargap.placement.Endpoint;
import org.fulmargap.placement.Placement;
import org.fulmargap.rollout.VersionSplit;

/**
 * The endpoints to which one request may be sent. Confined to the event loop.
 */
final class RequestCandidates {

	private final RequestServices services;

	private final String service;

	private final String attemptId;

	private final int priority;

	private final Set<String> tried = new HashSet<>();

	// Whether a rollout sends the request to the new version; null if not decided yet.
	private Boolean toUpdated;

	// Whether the request may leave the failure domain; null if not decided yet.
	private Boolean mayLeave;

	// The only version that may get the request; null if all may.
	private String softwareVersion;

	RequestCandidates(RequestServices services, String service, String attemptId, int priority) {
		this.services = services;
		this.service = service;
		this.attemptId = attemptId;
		this.priority = priority;
	}

	/**
	 * Returns the endpoints that may get the request, those included that it has tried.
	 * @param nowMs the current time in milliseconds
	 * @return the endpoints
	 */
	List<Endpoint> available(long nowMs) {
		List<Endpoint> available = this.services.rollouts()
			.usable(this.service, this.services.view().directory().available(this.service, nowMs), nowMs);
		List<Endpoint> allowed = split().map((split) -> allowedBy(split, available, nowMs)).orElse(available);
		return (this.softwareVersion != null) ? allowed.stream().filter(this::hasVersion).toList() : allowed;
	}

	/**
	 * Returns how the requests to the service are divided during a rollout.
	 * @return the split, or empty if there is no rollout
	 */
	Optional<VersionSplit> split() {
		return this.services.rollouts().split(this.service);
	}

	private List<Endpoint> allowedBy(VersionSplit split, List<Endpoint> available, long nowMs) {
		if (this.softwareVersion != null) {
			return available.stream().filter((endpoint) -> split.mayContinueAt(endpoint, nowMs)).toList();
		}
		if (this.toUpdated == null) {
			this.toUpdated = split.sendsToUpdated(this.attemptId, nowMs);
		}
		return split.candidates(available, split.stillToUpdated(this.toUpdated, nowMs), nowMs);
	}

	/**
	 * Assigns a request that no endpoint of the new version takes to the old one, if it
	 * may still get requests.
	 * @param nowMs the current time in milliseconds
	 * @return whether the request was reassigned
	 */
	boolean reassignToOld(long nowMs) {
		boolean reassigned = this.softwareVersion == null && Boolean.TRUE.equals(this.toUpdated)
				&& split().filter((split) -> split.share(nowMs) < 1).isPresent();
		this.toUpdated = (reassigned) ? Boolean.FALSE : this.toUpdated;
		return reassigned;
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
	 * that they named and the places at brittle ones.
	 * @param nowMs the current time in milliseconds
	 * @return the endpoints
	 */
	List<Endpoint> sendable(long nowMs) {
		List<Endpoint> withinLimits = this.services.limits().sendable(available(nowMs), this.priority, nowMs);
		return this.services.brittle().sendable(withinLimits, nowMs);
	}

	/**
	 * Returns those of the endpoints to which the request should be sent if one of them
	 * takes it: those of the failure domain of this VM if the request stays there.
	 * @param endpoints the endpoints
	 * @param demand what the request needs
	 * @return the endpoints that are tried first
	 */
	List<Endpoint> preferred(List<Endpoint> endpoints, Placement.Demand demand) {
		if (this.mayLeave == null) {
			this.mayLeave = this.services.spills().mayLeave(this.service, this.attemptId);
		}
		return this.services.spills().preferred(endpoints, this.mayLeave, demand);
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
	 * Returns the time until this VM may send to one of the endpoints that the request
	 * has not tried, if all are brittle.
	 * @param nowMs the current time in milliseconds
	 * @return the expected time in milliseconds; 0 if it may send now
	 */
	long brittleWaitMs(long nowMs) {
		return this.services.brittle().waitMs(untried(nowMs), nowMs);
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
