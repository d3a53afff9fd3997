package org.fulmargap.fleet;

/**
 * Requests in flight at one endpoint.
 *
 * @param inFlight the number of requests
 * @param prefillTokens the prompt tokens that the endpoint has not processed yet
 */
public record EndpointLoad(int inFlight, long prefillTokens) {

	EndpointLoad plus(EndpointLoad other) {
		return new EndpointLoad(this.inFlight + other.inFlight, this.prefillTokens + other.prefillTokens);
	}

}
