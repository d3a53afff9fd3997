package org.fulmargap.endpoint;

/**
 * Learns what endpoints say about themselves.
 */
public interface EndpointObserver {

	/**
	 * An endpoint answered.
	 * @param endpoint the name of the endpoint
	 * @param incarnation the incarnation that it reported, or empty
	 * @param leaving whether it reported that it is leaving
	 */
	void seen(String endpoint, String incarnation, boolean leaving);

	/**
	 * An endpoint refused a connection.
	 * @param endpoint the name of the endpoint
	 */
	void refused(String endpoint);

}
