package org.fulmargap.placement;

import java.util.Objects;

/**
 * Names one process of an endpoint: a restart may keep the name of the endpoint.
 *
 * @param endpoint the name of the endpoint
 * @param startedAtMs when the process started, in milliseconds since the epoch; 0 if its
 * record does not state it
 */
public record EndpointProcess(String endpoint, long startedAtMs) {

	/**
	 * Creates the name of a process.
	 * @throws NullPointerException if the endpoint is null
	 */
	public EndpointProcess {
		Objects.requireNonNull(endpoint, "endpoint");
	}

}
