package org.fulmargap.rollout;

import java.util.HashMap;
import java.util.Map;

/**
 * What one VM has seen of a rollout since its order, or several VMs together.
 *
 * @param orderId the id of the order
 * @param requests the requests that were sent to the service
 * @param updatedRequests the number of those that were sent to the new version
 * @param routes the answers by route or stage
 * @param oldInFlight the requests in flight at endpoints of other versions
 * @param seenStep the lowest number among the newest steps that the VMs follow
 * @param vms the number of VMs
 */
public record RolloutReport(long orderId, long requests, long updatedRequests, Map<String, RouteCounts> routes,
		int oldInFlight, int seenStep, int vms) {

	/**
	 * Creates a report with a copy of the map.
	 */
	public RolloutReport {
		routes = Map.copyOf(routes);
	}

	/**
	 * Adds up reports about the same order.
	 * @param other the other report
	 * @return the sums, and the lower number of the steps
	 */
	public RolloutReport plus(RolloutReport other) {
		Map<String, RouteCounts> sums = new HashMap<>(this.routes);
		other.routes.forEach((route, counts) -> sums.merge(route, counts, RouteCounts::plus));
		return new RolloutReport(this.orderId, this.requests + other.requests,
				this.updatedRequests + other.updatedRequests, sums, this.oldInFlight + other.oldInFlight,
				Math.min(this.seenStep, other.seenStep), this.vms + other.vms);
	}

}
