package org.fulmargap.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.fulmargap.config.Configuration;

/**
 * The available endpoints of each service.
 *
 * @param services the endpoints by service
 */
record Topology(Map<String, Service> services) {

	private static final Service NONE = new Service(List.of(), List.of(), List.of());

	static Topology of(Configuration configuration, Set<String> unavailable, String ownDomain) {
		Map<String, Service> services = new HashMap<>();
		configuration.endpoints().forEach((name, spec) -> {
			if (!unavailable.contains(name)) {
				Service service = services.computeIfAbsent(spec.service(),
						(key) -> new Service(new ArrayList<>(), new ArrayList<>(), new ArrayList<>()));
				service.all.add(name);
				boolean isOwn = spec.failureDomain().equals(ownDomain);
				((isOwn) ? service.own : service.others).add(name);
			}
		});
		return new Topology(services);
	}

	Service service(String name) {
		return this.services.getOrDefault(name, NONE);
	}

	/**
	 * The available endpoints of one service.
	 *
	 * @param own the endpoints in the failure domain of the entry VM
	 * @param others the endpoints in other failure domains
	 * @param all the endpoints in all failure domains
	 */
	record Service(List<String> own, List<String> others, List<String> all) {
	}

}
