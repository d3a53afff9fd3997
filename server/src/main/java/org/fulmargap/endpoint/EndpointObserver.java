package org.fulmargap.endpoint;

/**
 * Receives the status that endpoints report.
 */
public interface EndpointObserver {

	/**
	 * Called when an endpoint reported its status, or answered that it is leaving.
	 * @param endpoint the name of the endpoint
	 * @param incarnation the incarnation that the endpoint reported, or empty
	 * @param leaving whether the endpoint reported that it is leaving
	 */
	void statusReported(String endpoint, String incarnation, boolean leaving);

	/**
	 * Called when an endpoint refused a connection.
	 * @param endpoint the name of the endpoint
	 */
	void connectionRefused(String endpoint);

}
