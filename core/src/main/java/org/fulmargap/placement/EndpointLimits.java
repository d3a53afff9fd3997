package org.fulmargap.placement;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * Keeps this VM within its shares of the rates that endpoints named. Requests of a higher
 * priority that were refused lately come before others. Confined to one thread.
 */
public final class EndpointLimits {

	private static final double MS_PER_SECOND = 1_000;

	/** The longest time that is named to a caller, in milliseconds. */
	private static final long MAX_WAIT_MS = 60_000;

	/**
	 * How long after the named time a refused request is expected back at the latest, as
	 * a share of that time.
	 */
	private static final double RETURN_SPREAD = 0.5;

	/** The least time after the named one in which it is expected, in milliseconds. */
	private static final long MIN_RETURN_MS = 1_000;

	/** The number of refused requests of a service that are remembered. */
	private static final int MAX_REFUSED = 256;

	private final LimitShares shares;

	private final Map<String, Deque<Refused>> refusedByService = new HashMap<>();

	/**
	 * Creates limits with empty buckets.
	 * @param shares the shares of this VM
	 */
	public EndpointLimits(LimitShares shares) {
		this.shares = shares;
	}

	/**
	 * Returns the endpoints to which this VM may send a request now.
	 * @param endpoints the endpoints of a service
	 * @param priority the priority of the request, 0 is the highest
	 * @param nowMs the current time in milliseconds
	 * @return those without a limit and those at which the share allows it
	 */
	public List<Endpoint> sendable(List<Endpoint> endpoints, int priority, long nowMs) {
		return endpoints.stream().filter((endpoint) -> waitMs(endpoint, priority, nowMs) == 0).toList();
	}

	/**
	 * Returns how long it takes until this VM may send a request to one of several
	 * endpoints.
	 * @param endpoints the endpoints of a service
	 * @param priority the priority of the request, 0 is the highest
	 * @param nowMs the current time in milliseconds
	 * @return the shortest time in milliseconds; 0 if it may send now, or if there are no
	 * endpoints
	 */
	public long waitMs(Collection<Endpoint> endpoints, int priority, long nowMs) {
		return endpoints.stream().mapToLong((endpoint) -> waitMs(endpoint, priority, nowMs)).min().orElse(0);
	}

	private long waitMs(Endpoint endpoint, int priority, long nowMs) {
		OptionalDouble limit = endpoint.limitPerSecond();
		if (limit.isEmpty()) {
			return 0;
		}
		double share = refill(endpoint, limit.getAsDouble(), nowMs);
		if (share <= 0) {
			// Another VM has the next token.
			double perSecond = LimitShares.usablePerSecond(limit.getAsDouble());
			return (long) Math.ceil(MS_PER_SECOND / perSecond);
		}
		int reserved = reserved(endpoint.record().service(), priority, nowMs);
		return Math.min(MAX_WAIT_MS, endpoint.tokens().waitMs(1 + reserved, share));
	}

	private double refill(Endpoint endpoint, double limitPerSecond, long nowMs) {
		double share = this.shares.perSecond(endpoint.record().id(), limitPerSecond, nowMs);
		endpoint.tokens().refill(share, nowMs);
		return share;
	}

	/**
	 * Returns the mean time between two requests of all VMs together to a service.
	 * @param endpoints the endpoints of the service
	 * @return the time in milliseconds; 0 if one of them has no limit, or if there are no
	 * endpoints
	 */
	public static long intervalMs(Collection<Endpoint> endpoints) {
		double perSecond = 0;
		for (Endpoint endpoint : endpoints) {
			perSecond += LimitShares.usablePerSecond(endpoint.limitPerSecond().orElse(NamedLimit.UNLIMITED));
		}
		return (perSecond > 0) ? (long) Math.ceil(MS_PER_SECOND / perSecond) : 0;
	}

	/**
	 * Returns the rate at which this VM may send to an endpoint.
	 * @param endpoint the endpoint
	 * @param nowMs the current time in milliseconds
	 * @return the rate in requests per second, {@link NamedLimit#UNLIMITED} without a
	 * limit
	 */
	public double perSecond(Endpoint endpoint, long nowMs) {
		OptionalDouble limit = endpoint.limitPerSecond();
		return (limit.isPresent()) ? this.shares.perSecond(endpoint.record().id(), limit.getAsDouble(), nowMs)
				: NamedLimit.UNLIMITED;
	}

	/**
	 * Records that this VM sends a request.
	 * @param endpoint the endpoint
	 * @param priority the priority of the request, 0 is the highest
	 */
	public void sent(Endpoint endpoint, int priority) {
		if (endpoint.limitPerSecond().isPresent()) {
			endpoint.tokens().take();
			Deque<Refused> refused = this.refusedByService.get(endpoint.record().service());
			if (refused != null) {
				refused.stream()
					.filter((earlier) -> earlier.priority() == priority)
					.findFirst()
					.ifPresent(refused::remove);
			}
		}
	}

	/**
	 * Sends a request that other work comes before, if the share allows one more after
	 * it.
	 * @param endpoint the endpoint
	 * @param nowMs the current time in milliseconds
	 * @return whether the request may be sent
	 */
	public boolean trySpare(Endpoint endpoint, long nowMs) {
		OptionalDouble limit = endpoint.limitPerSecond();
		if (limit.isEmpty()) {
			return true;
		}
		refill(endpoint, limit.getAsDouble(), nowMs);
		boolean spare = endpoint.tokens().tokens() >= 2;
		if (spare) {
			endpoint.tokens().take();
		}
		return spare;
	}

	/**
	 * Records that a request was refused because of the limits of a service. It is
	 * expected to come again after the time that was named to its caller; until then
	 * requests of a lower priority leave it a token.
	 * @param service the name of the service
	 * @param priority the priority of the request, 0 is the highest
	 * @param waitMs the time that was named, in milliseconds
	 * @param nowMs the current time in milliseconds
	 */
	public void refused(String service, int priority, long waitMs, long nowMs) {
		Deque<Refused> refused = this.refusedByService.computeIfAbsent(service, (name) -> new ArrayDeque<>());
		refused.removeIf((earlier) -> nowMs >= earlier.untilMs());
		if (refused.size() >= MAX_REFUSED) {
			refused.removeFirst();
		}
		long returnMs = Math.max(MIN_RETURN_MS, Math.round(waitMs * RETURN_SPREAD));
		refused.addLast(new Refused(priority, nowMs + waitMs + returnMs));
	}

	private int reserved(String service, int priority, long nowMs) {
		int reserved = 0;
		for (Refused refused : this.refusedByService.getOrDefault(service, new ArrayDeque<>())) {
			reserved += (refused.priority() < priority && nowMs < refused.untilMs()) ? 1 : 0;
		}
		return reserved;
	}

	private record Refused(int priority, long untilMs) {
	}

}
