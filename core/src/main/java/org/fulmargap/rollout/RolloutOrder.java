package org.fulmargap.rollout;

import java.util.Objects;

/**
 * An operator's order to move the traffic of a service to another software version.
 *
 * @param service the name of the service
 * @param toVersion the software version that is to get the traffic
 * @param durationMs the time limit of the rollout, in milliseconds
 * @param id tells two orders for the same service apart
 */
public record RolloutOrder(String service, String toVersion, long durationMs, long id) {

	/**
	 * Creates an order.
	 * @throws NullPointerException if the service or the version is null
	 */
	public RolloutOrder {
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(toVersion, "toVersion");
	}

}
