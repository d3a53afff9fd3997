package org.fulmargap.routing;

import java.util.Objects;
import java.util.Set;

/**
 * Routing requirements of one attempt.
 *
 * @param service the service that runs the stage
 * @param prefixKey identifies the prompt prefix for cache affinity, empty if there is
 * none
 * @param promptTokens the estimated number of prompt tokens
 * @param excluded names of endpoints that must not be chosen, for example those that
 * failed this request before
 * @param isolated whether the request has a crash report or a suspected crash and must
 * not share an endpoint with another such request
 * @param ownDomainOnly whether only endpoints of the entry VM's failure domain may be
 * used
 */
public record RouteRequest(String service, String prefixKey, int promptTokens, Set<String> excluded, boolean isolated,
		boolean ownDomainOnly) {

	/**
	 * Checks the components.
	 */
	public RouteRequest {
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(prefixKey, "prefixKey");
		excluded = Set.copyOf(excluded);
	}

	/**
	 * Creates a request without prefix or restrictions.
	 * @param service the service that runs the stage
	 * @return the request
	 */
	public static RouteRequest forService(String service) {
		return new RouteRequest(service, "", 0, Set.of(), false, false);
	}

}
