package org.fulmargap.stream;

import java.util.Objects;

/**
 * Where a stream began.
 *
 * @param attemptId the id of the caller's attempt that brought the first event
 * @param service the service of the endpoint
 * @param softwareVersion the software version of the endpoint
 */
public record StreamOrigin(String attemptId, String service, String softwareVersion) {

	/**
	 * Creates an origin.
	 * @throws NullPointerException if an argument is null
	 */
	public StreamOrigin {
		Objects.requireNonNull(attemptId, "attemptId");
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(softwareVersion, "softwareVersion");
	}

}
