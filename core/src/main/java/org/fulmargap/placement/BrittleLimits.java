package org.fulmargap.placement;

import java.util.Collection;
import java.util.List;
import java.util.OptionalInt;

/**
 * Keeps the requests of all entry VMs at a brittle endpoint within its slots, so that it
 * has no reason to reject more of them than it survives. Confined to one thread.
 */
public final class BrittleLimits {

	/**
	 * When a refused request may be served, in milliseconds: some calls later. When a
	 * place gets free is not known.
	 */
	private static final long PLACE_WAIT_MS = 300;

	private final FleetPosition.Finder positions;

	/**
	 * Creates limits.
	 * @param positions the position of this VM
	 */
	public BrittleLimits(FleetPosition.Finder positions) {
		this.positions = positions;
	}

	/**
	 * Returns the endpoints to which this VM may send a request now.
	 * @param endpoints the endpoints of a service
	 * @param nowMs the current time in milliseconds
	 * @return those that are not brittle and those with a place for this VM
	 */
	public List<Endpoint> sendable(List<Endpoint> endpoints, long nowMs) {
		return endpoints.stream().filter((endpoint) -> maySend(endpoint, nowMs)).toList();
	}

	private boolean maySend(Endpoint endpoint, long nowMs) {
		OptionalInt rejections = endpoint.survivedRejections();
		if (rejections.isEmpty()) {
			return true;
		}
		BrittlePause pause = endpoint.brittlePause();
		if (pause.leftMs(nowMs) > 0) {
			return false;
		}
		BrittlePlaces places = places(endpoint, rejections.getAsInt(), nowMs);
		int inFlight = endpoint.ownInFlight();
		if (inFlight < places.own() - pause.missing(nowMs)) {
			return true;
		}
		return inFlight < places.own() + places.surplus() && !pause.isSurplusPaused(nowMs)
				&& endpoint.inFlight(nowMs) + places.fleetSurplus() <= endpoint.record().slots();
	}

	private BrittlePlaces places(Endpoint endpoint, int rejections, long nowMs) {
		FleetPosition position = this.positions.find(endpoint.record().id(), nowMs);
		return BrittlePlaces.divide(Math.max(1, endpoint.record().slots()), rejections, position);
	}

	/**
	 * Returns when this VM may send a request to one of several endpoints.
	 * @param endpoints the endpoints of a service
	 * @param nowMs the current time in milliseconds
	 * @return the shortest expected time in milliseconds; 0 if it may send now, or if
	 * there are no endpoints
	 */
	public long waitMs(Collection<Endpoint> endpoints, long nowMs) {
		return endpoints.stream().mapToLong((endpoint) -> waitMs(endpoint, nowMs)).min().orElse(0);
	}

	private long waitMs(Endpoint endpoint, long nowMs) {
		if (maySend(endpoint, nowMs)) {
			return 0;
		}
		long pauseMs = endpoint.brittlePause().leftMs(nowMs);
		return (pauseMs > 0) ? pauseMs : PLACE_WAIT_MS;
	}

	/**
	 * Records that an endpoint rejected a call that does not count among its requests in
	 * flight.
	 * @param endpoint the endpoint
	 * @param nowMs the current time in milliseconds
	 */
	public void callRejected(Endpoint endpoint, long nowMs) {
		if (endpoint.survivedRejections().isPresent()) {
			endpoint.brittlePause().stop(nowMs);
		}
	}

	/**
	 * Records that an endpoint rejected a request of this VM for want of room. The
	 * request is no longer in flight.
	 * @param endpoint the endpoint
	 * @param nowMs the current time in milliseconds
	 */
	public void rejected(Endpoint endpoint, long nowMs) {
		OptionalInt rejections = endpoint.survivedRejections();
		if (rejections.isEmpty()) {
			return;
		}
		if (endpoint.ownInFlight() < places(endpoint, rejections.getAsInt(), nowMs).own()) {
			endpoint.brittlePause().ownRejected(nowMs);
		}
		else {
			endpoint.brittlePause().surplusRejected(nowMs);
		}
	}

}
