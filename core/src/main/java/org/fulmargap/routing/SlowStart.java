package org.fulmargap.routing;

import java.util.Collection;
import java.util.Objects;

/**
 * Computes the concurrency limit of an endpoint during its warm-up and the share of one
 * entry VM.
 *
 * @param initialConcurrency the limit at the start, summed over all entry VMs
 * @param doublingMs the time of work in milliseconds in which the limit doubles
 */
public record SlowStart(int initialConcurrency, long doublingMs) {

	/**
	 * Checks the components.
	 */
	public SlowStart {
		if (initialConcurrency < 1 || doublingMs < 1) {
			throw new IllegalArgumentException("initialConcurrency and doublingMs must be at least 1");
		}
	}

	/**
	 * Returns the number of requests that all entry VMs together may have in flight.
	 * @param workMs the time of work since the start in milliseconds
	 * @param maxConcurrency the concurrency limit of a warm endpoint
	 * @return the limit, from one to {@code maxConcurrency}
	 */
	public int concurrencyLimit(long workMs, int maxConcurrency) {
		double limit = this.initialConcurrency * Math.pow(2, Math.max(0, workMs) / (double) this.doublingMs);
		return (int) Math.min(maxConcurrency, limit);
	}

	/**
	 * Returns the share of a concurrency limit that one entry VM may use. The shares of
	 * all ranks add up to the limit.
	 * @param limit the concurrency limit of the endpoint
	 * @param rank the rank of the entry VM, from zero
	 * @param members the number of member entry VMs
	 * @return the number of requests that the entry VM may have in flight
	 */
	public static int share(int limit, int rank, int members) {
		return limit / members + ((rank < limit % members) ? 1 : 0);
	}

	/**
	 * Returns the position of an entry VM in the order for one endpoint. The order
	 * differs between endpoints, so that the first requests to cold endpoints come from
	 * different entry VMs. It does not depend on the incarnation of the endpoint: entry
	 * VMs observe a new one at different times, and shares computed from different orders
	 * can add up to more than the limit.
	 * @param endpoint the name of the endpoint
	 * @param vm the name of the entry VM
	 * @param members the names of all member entry VMs
	 * @return the number of other members that precede the entry VM
	 */
	public static int rank(String endpoint, String vm, Collection<String> members) {
		Objects.requireNonNull(members, "members");
		long own = Rendezvous.score(endpoint, vm);
		int rank = 0;
		for (String member : members) {
			if (!member.equals(vm)) {
				long score = Rendezvous.score(endpoint, member);
				if (score > own || (score == own && member.compareTo(vm) < 0)) {
					rank++;
				}
			}
		}
		return rank;
	}

}
