package org.fulmargap.fleet;

import java.util.Map;
import java.util.Set;

import org.fulmargap.placement.Brittleness;
import org.fulmargap.placement.EndpointProcess;
import org.fulmargap.placement.NamedLimit;

/**
 * The load that one or several entry VMs put on endpoints.
 *
 * @param loads the requests in flight by endpoint, only for endpoints with some
 * @param admittedItems the numbers of work items that admitted requests still need, by
 * rank, by service
 * @param availableEndpoints the available endpoints of each service in units of endpoints
 * of usual speed, by the VM that coordinates the service
 * @param leaving the processes of endpoints that said that they are leaving, as long as
 * their records don't say it
 * @param limits what processes of endpoints said about the rates that they take from all
 * entry VMs together
 * @param rollouts what the VMs have seen of rollouts, and what coordinators allow
 * @param brittle what processes of endpoints said about the rejections that they survive
 */
public record LoadReport(Map<String, EndpointLoad> loads, Map<String, int[]> admittedItems,
		Map<String, Map<String, Double>> availableEndpoints, Set<EndpointProcess> leaving,
		Map<EndpointProcess, NamedLimit> limits, RolloutExchange rollouts, Map<EndpointProcess, Brittleness> brittle) {

	/** No load. */
	public static final LoadReport NONE = new LoadReport(Map.of(), Map.of(), Map.of(), Set.of(), Map.of());

	/**
	 * Creates a report without rollouts and brittle endpoints.
	 * @param loads the requests in flight by endpoint
	 * @param admittedItems the numbers of work items by rank, by service
	 * @param availableEndpoints the available endpoints of each service by VM
	 * @param leaving the processes of endpoints that are leaving
	 * @param limits the rates that processes of endpoints take
	 */
	public LoadReport(Map<String, EndpointLoad> loads, Map<String, int[]> admittedItems,
			Map<String, Map<String, Double>> availableEndpoints, Set<EndpointProcess> leaving,
			Map<EndpointProcess, NamedLimit> limits) {
		this(loads, admittedItems, availableEndpoints, leaving, limits, RolloutExchange.NONE, Map.of());
	}

}
