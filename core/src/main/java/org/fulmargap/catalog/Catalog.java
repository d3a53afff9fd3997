package org.fulmargap.catalog;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * One version of the operators' configuration. Immutable.
 */
public final class Catalog {

	private final long version;

	private final Map<String, List<Route>> routesByHost = new HashMap<>();

	private final Map<String, ServiceSpec> services;

	private final Map<String, ClientAccount> accountsByKey;

	private final boolean needsKeys;

	private final RequestLimits limits;

	/**
	 * Creates a catalog.
	 * @param version the version of the configuration
	 * @param routes all routes
	 * @param services all services by name
	 * @param accountsByKey the client accounts by API key
	 * @param needsKeys whether requests need an API key, also if there is no account
	 * @param limits the limits on requests
	 */
	public Catalog(long version, List<Route> routes, Map<String, ServiceSpec> services,
			Map<String, ClientAccount> accountsByKey, boolean needsKeys, RequestLimits limits) {
		this.version = version;
		this.services = Map.copyOf(services);
		this.accountsByKey = Map.copyOf(accountsByKey);
		this.needsKeys = needsKeys;
		this.limits = limits;
		for (Route route : routes) {
			this.routesByHost.computeIfAbsent(route.host().toLowerCase(Locale.ROOT), (host) -> new ArrayList<>())
				.add(route);
		}
		Comparator<Route> longestFirst = Comparator.comparingInt((Route route) -> -route.pathPrefix().length());
		this.routesByHost.values().forEach((list) -> list.sort(longestFirst));
	}

	/**
	 * Returns the version of the configuration.
	 * @return the version
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Returns the limits on requests.
	 * @return the limits
	 */
	public RequestLimits limits() {
		return this.limits;
	}

	/**
	 * Returns all services.
	 * @return the services by name
	 */
	public Map<String, ServiceSpec> services() {
		return this.services;
	}

	/**
	 * Returns the route of a host with the longest path prefix that matches a path.
	 * @param host the host without port; its case doesn't matter
	 * @param path the path, with or without a query
	 * @return the route, or empty if none matches
	 */
	public Optional<Route> route(String host, String path) {
		List<Route> candidates = this.routesByHost.getOrDefault(host.toLowerCase(Locale.ROOT), List.of());
		return candidates.stream().filter((route) -> path.startsWith(route.pathPrefix())).findFirst();
	}

	/**
	 * Returns the client account to which an API key belongs.
	 * @param apiKey the key
	 * @return the account, or empty if the key is unknown
	 */
	public Optional<ClientAccount> account(String apiKey) {
		return Optional.ofNullable(this.accountsByKey.get(apiKey));
	}

	/**
	 * Returns whether a request on a route needs an API key.
	 * @param route the route
	 * @return {@code true} if requests of the configuration need a key and the route
	 * isn't anonymous
	 */
	public boolean needsKey(Route route) {
		return this.needsKeys && !route.anonymous();
	}

}
