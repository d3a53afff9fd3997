package org.fulmargap.server;

import java.util.HashSet;
import java.util.Set;

import org.fulmargap.config.Configuration;
import org.fulmargap.ledger.ConfigService;
import org.fulmargap.peer.OrderService;
import org.fulmargap.pipeline.EndpointMonitor;

/**
 * Determines which endpoints get no new work.
 *
 * @param orders the administrative orders
 * @param monitor holds the endpoints that reported that they are leaving
 * @param vmList holds the VMs that the platform lists as leaving
 */
record Availability(OrderService orders, EndpointMonitor monitor, VmListCache vmList) {

	/**
	 * Returns the endpoints that get no new work: those taken out of service, those that
	 * are leaving, and while a configuration change is in doubt, because its decision may
	 * not have been read from the log, those that it would remove.
	 * @param view the configuration in force
	 * @return the names of the endpoints
	 */
	Set<String> unavailable(ConfigService.View view) {
		Configuration configuration = view.configuration();
		Set<String> names = new HashSet<>(this.orders.current().unavailableEndpoints(configuration));
		names.addAll(this.monitor.leaving());
		names.addAll(this.vmList.last().leaving());
		view.pending()
			.ifPresent((pending) -> configuration.endpoints()
				.keySet()
				.stream()
				.filter((name) -> !pending.endpoints().containsKey(name))
				.forEach(names::add));
		return names;
	}

}
