package org.fulmargap.routing;

import java.util.Objects;

/**
 * Settings of the router of one entry VM.
 *
 * @param vm the name of this entry VM
 * @param failureDomain the failure domain of this entry VM
 * @param initialConcurrency the concurrency limit of an endpoint that has just started,
 * summed over all entry VMs
 * @param doublingMs the time of work in milliseconds in which the concurrency limit
 * doubles
 * @param seed the seed of the random choices
 */
public record RouterSettings(String vm, String failureDomain, int initialConcurrency, long doublingMs, long seed) {

	/**
	 * Checks the components.
	 */
	public RouterSettings {
		Objects.requireNonNull(vm, "vm");
		Objects.requireNonNull(failureDomain, "failureDomain");
		if (initialConcurrency < 1 || doublingMs < 1) {
			throw new IllegalArgumentException("initialConcurrency and doublingMs must be at least 1");
		}
	}

}
