package org.fulmargap.fleet;

import java.util.Map;
import java.util.Set;

import org.fulmargap.placement.EndpointProcess;

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
 */
public record LoadReport(Map<String, EndpointLoad> loads, Map<String, int[]> admittedItems,
		Map<String, Map<String, Double>> availableEndpoints, Set<EndpointProcess> leaving) {

	/** No load. */
	public static final LoadReport NONE = new LoadReport(Map.of(), Map.of(), Map.of(), Set.of());

}
