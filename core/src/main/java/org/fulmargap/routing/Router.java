package org.fulmargap.routing;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.fulmargap.config.Configuration;

/**
 * Selects an endpoint for each attempt and adapts to the results. Implementations are
 * safe for use by several threads and do no I/O.
 */
public interface Router {

	/**
	 * Replaces the endpoints and members.
	 * @param configuration the configuration in force
	 * @param unavailable the names of endpoints that get no new requests because an
	 * operator took them out of service or they are leaving
	 * @param members the names of all member entry VMs, this one included
	 * @param nowMs the current time in milliseconds since the epoch
	 */
	void update(Configuration configuration, Set<String> unavailable, Collection<String> members, long nowMs);

	/**
	 * Selects an endpoint and reserves a slot on it.
	 * @param request the requirements of the attempt
	 * @param nowMs the current time in milliseconds since the epoch
	 * @return a reservation that the caller must close, or empty if no endpoint has
	 * capacity now
	 */
	Optional<Reservation> select(RouteRequest request, long nowMs);

	/**
	 * Records a load report of an endpoint. Reports may arrive late and out of order.
	 * @param endpoint the name of the endpoint
	 * @param report the report
	 * @param nowMs the current time in milliseconds since the epoch
	 */
	void observeLoad(String endpoint, LoadReport report, long nowMs);

	/**
	 * Returns the start of the latest warm-up of each endpoint that is warming up.
	 * @return milliseconds since the epoch by endpoint name
	 */
	Map<String, Long> warmUpStarts();

	/**
	 * Merges warm-up starts that another entry VM observed. The later start wins.
	 * @param starts milliseconds since the epoch by endpoint name
	 * @param nowMs the current time in milliseconds since the epoch
	 */
	void mergeWarmUpStarts(Map<String, Long> starts, long nowMs);

	/**
	 * Returns the expected duration of one stage call, without queueing.
	 * @param service the service that runs the stage
	 * @return the median of recent calls in milliseconds, zero before the first result
	 */
	long expectedStageMs(String service);

	/**
	 * Returns the time without progress after which a call needs a liveness probe.
	 * @param service the service that runs the stage
	 * @param remainingMs the time until the deadline in milliseconds
	 * @return the limit in milliseconds
	 */
	long progressLimitMs(String service, long remainingMs);

	/**
	 * Returns the number of requests of a service that this entry VM may run at the same
	 * time.
	 * @param service the service
	 * @param nowMs the current time in milliseconds since the epoch
	 * @return this entry VM's share of the current concurrency limits of the endpoints,
	 * at least one if any endpoint of the service is available
	 */
	int concurrencyShare(String service, long nowMs);

}
