package org.fulmargap.placement;

import java.util.List;

/**
 * The load of the available endpoints of one service in one failure domain, or in several
 * together, as known from the reports of all entry VMs.
 *
 * @param endpoints the equivalent number of endpoints that are not cold
 * @param slots how many requests these run at the same time
 * @param inFlight the number of requests in flight
 * @param prefillTokens the number of prompt tokens that wait for prefill
 */
public record DomainLoad(double endpoints, double slots, int inFlight, long prefillTokens) {

	/** The load of no endpoints. */
	public static final DomainLoad NONE = new DomainLoad(0, 0, 0, 0);

	/** The capacity of a cold endpoint, as a share of that of others. */
	private static final double COLD_CAPACITY = 0.1;

	/**
	 * The requests in flight per slot up to which requests hardly wait. It is below 1
	 * because some endpoints are full before others.
	 */
	private static final double FREE_LOAD = 0.8;

	/**
	 * Sums the load of endpoints.
	 * @param endpoints the available endpoints of a service in one failure domain
	 * @param nowMs the current time in milliseconds
	 * @return the load
	 */
	public static DomainLoad of(List<Endpoint> endpoints, long nowMs) {
		DomainLoad sum = NONE;
		for (Endpoint endpoint : endpoints) {
			double capacity = (endpoint.isCold(nowMs)) ? COLD_CAPACITY : 1;
			sum = sum.plus(new DomainLoad(capacity, capacity * Math.max(1, endpoint.record().slots()),
					endpoint.inFlight(nowMs), endpoint.prefillTokens(nowMs)));
		}
		return sum;
	}

	/**
	 * Adds another load.
	 * @param other the other load
	 * @return the sum
	 */
	public DomainLoad plus(DomainLoad other) {
		return new DomainLoad(this.endpoints + other.endpoints, this.slots + other.slots,
				this.inFlight + other.inFlight, this.prefillTokens + other.prefillTokens);
	}

	/**
	 * Returns the expected wait of a further request. It is derived only from the reports
	 * and from constants, so that all VMs expect about the same.
	 * @param engine whether the endpoints are model engines
	 * @return the wait in milliseconds; infinite without endpoints
	 */
	public double waitMs(boolean engine) {
		return Math.max(0, signedWaitMs(engine));
	}

	// Negative for plain endpoints with free slots: the more of them are free, the lower.
	double signedWaitMs(boolean engine) {
		if (this.endpoints <= 0) {
			return Double.POSITIVE_INFINITY;
		}
		if (engine) {
			double prefillMs = this.prefillTokens / Placement.PREFILL_TOKENS_PER_MS;
			return (prefillMs + this.inFlight * Placement.DECODE_MS_PER_REQUEST) / this.endpoints;
		}
		return Placement.PLAIN_MS_PER_REQUEST * (this.inFlight / this.slots - FREE_LOAD);
	}

	double capacity(boolean engine) {
		return (engine) ? this.endpoints : this.slots;
	}

}
