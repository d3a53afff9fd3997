package org.fulmargap.placement;

/**
 * Creates endpoints for tests.
 */
public final class Endpoints {

	private Endpoints() {
	}

	/**
	 * Creates an endpoint that is not cold.
	 * @param id the name of the endpoint
	 * @param domain the name of its failure domain
	 * @return the endpoint
	 */
	public static Endpoint ready(String id, String domain) {
		return new Endpoint(record(id, domain, false, 0), 0);
	}

	/**
	 * Creates an endpoint that is cold.
	 * @param id the name of the endpoint
	 * @param coldForMs how long it stays cold, in milliseconds
	 * @return the endpoint
	 */
	public static Endpoint cold(String id, long coldForMs) {
		return new Endpoint(record(id, "a", false, coldForMs), 0);
	}

	/**
	 * Lets an endpoint state its load.
	 * @param endpoint the endpoint
	 * @param load the load
	 * @param nowMs the current time in milliseconds
	 */
	public static void states(Endpoint endpoint, EndpointLoadNotice load, long nowMs) {
		endpoint.recordLoad(endpoint.record().startedAtMs(), load, nowMs);
	}

	static EndpointRecord record(String id, String domain, boolean draining, long coldForMs) {
		return new EndpointRecord(id, "service", "10.0.0.1:80", domain, 8, draining, coldForMs, 1);
	}

	static EndpointRecord record(String id, boolean draining, long startedAtMs, long sequence) {
		return new EndpointRecord(id, "service", "10.0.0.1:80", "a", 8, draining, 0, startedAtMs, sequence, "v1");
	}

}
