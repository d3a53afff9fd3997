package org.fulmargap.routing;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.fulmargap.config.Configuration;

/**
 * Chooses endpoints and learns from the results. Implementations are safe for use by
 * several threads and do no I/O.
 */
public interface Router {

	/**
	 * Replaces what is known about endpoints and members.
	 * @param configuration the configuration in force
	 * @param unavailable the names of endpoints that get no new work because they are
	 * taken out or leaving
	 * @param members the names of all member entry VMs, this one included
	 * @param nowMs the present time in milliseconds since the epoch
	 */
	void update(Configuration configuration, Set<String> unavailable, Collection<String> members, long nowMs);

	/**
	 * Chooses an endpoint and reserves one request on it.
	 * @param request what has to be routed
	 * @param nowMs the present time in milliseconds since the epoch
	 * @return a reservation that the caller must close, or empty if no endpoint has
	 * capacity now
	 */
	Optional<Reservation> select(RouteRequest request, long nowMs);

	/**
	 * Records a load report of an endpoint. Reports may be late.
	 * @param endpoint the name of the endpoint
	 * @param report the report
	 * @param nowMs the present time in milliseconds since the epoch
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
	 * @param nowMs the present time in milliseconds since the epoch
	 */
	void mergeWarmUpStarts(Map<String, Long> starts, long nowMs);

	/**
	 * Returns the expected duration of one stage call, without queueing.
	 * @param service the service that runs the stage
	 * @return a moving median in milliseconds, zero if nothing is known yet
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
	 * @param nowMs the present time in milliseconds since the epoch
	 * @return this entry VM's share of the present allowances, at least one if any
	 * endpoint of the service is available
	 */
	int concurrencyShare(String service, long nowMs);

}
