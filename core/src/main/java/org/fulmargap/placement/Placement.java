package org.fulmargap.placement;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.fulmargap.catalog.ServiceSpec;

/**
 * Chooses the endpoint that is expected to answer a request first.
 */
public final class Placement {

	/**
	 * The prompt tokens that an engine reads in a millisecond, from the users' sheets.
	 */
	public static final double PREFILL_TOKENS_PER_MS = 38;

	/** What a request that decodes adds to the time of others, in milliseconds. */
	private static final double DECODE_MS_PER_REQUEST = 3;

	/** What a waiting request adds at a plain endpoint, in milliseconds. */
	private static final double PLAIN_MS_PER_REQUEST = 20;

	/** The time to another failure domain and back, in milliseconds. */
	private static final double REMOTE_DOMAIN_MS = 2;

	/** What a failed call costs, in milliseconds: about a caller's second attempt. */
	private static final double FAILURE_MS = 1_000;

	/** The weight of the bytes of inputs that would cross domains, in bytes a ms. */
	private static final double REMOTE_BYTES_PER_MS = 20_000;

	/**
	 * How much a prompt token that must be read again counts against one that waits: it
	 * also costs the other requests of the engine time.
	 */
	private static final double UNREAD_WEIGHT = 3;

	/** The tie-break by hash of the shared prompt part spans this time, in ms. */
	private static final double HASH_SPREAD_MS = 40;

	private final String ownDomain;

	/**
	 * Creates the placement of one entry VM.
	 * @param ownDomain the failure domain of the VM
	 */
	public Placement(String ownDomain) {
		this.ownDomain = ownDomain;
	}

	/**
	 * Chooses an endpoint.
	 * @param available the endpoints that may get new work
	 * @param excluded the names of endpoints that this request must not use again
	 * @param service the service
	 * @param demand what the request needs
	 * @param vmCount the entry VMs that share the allowance of cold endpoints
	 * @param nowMs the present time in milliseconds
	 * @return the choice, or empty if no endpoint can take the request now
	 */
	public Optional<Choice> choose(List<Endpoint> available, Set<String> excluded, ServiceSpec service, Demand demand,
			int vmCount, long nowMs) {
		Optional<Choice> healthy = best(available, excluded, service, demand, vmCount, false, nowMs);
		// When all are suspended, one of them is better than a certain refusal.
		return (healthy.isPresent()) ? healthy : best(available, excluded, service, demand, vmCount, true, nowMs);
	}

	private Optional<Choice> best(List<Endpoint> available, Set<String> excluded, ServiceSpec service, Demand demand,
			int vmCount, boolean suspended, long nowMs) {
		Endpoint best = null;
		double bestMs = Double.MAX_VALUE;
		double coldShare = service.coldPerSecond() / Math.max(1, vmCount);
		int candidates = 0;
		for (Endpoint endpoint : available) {
			boolean usable = !excluded.contains(endpoint.record().id()) && (suspended || !endpoint.isSuspended(nowMs))
					&& endpoint.isWithinColdStartLimit(coldShare, nowMs);
			if (!usable) {
				continue;
			}
			candidates++;
			double costMs = costMs(endpoint, service, demand, nowMs);
			if (costMs < bestMs) {
				best = endpoint;
				bestMs = costMs;
			}
		}
		if (best == null) {
			return Optional.empty();
		}
		// Leaves the counter of the cold allowance at the chosen endpoint.
		best.isWithinColdStartLimit(coldShare, nowMs);
		return Optional.of(new Choice(best, bestMs, candidates, best.cachedTokens(demand.prompt())));
	}

	private double costMs(Endpoint endpoint, ServiceSpec service, Demand demand, long nowMs) {
		double workMs = (service.engine() != null) ? engineMs(endpoint, demand.prompt(), nowMs)
				: (1 + endpoint.inFlight(nowMs)) * PLAIN_MS_PER_REQUEST;
		double costMs = workMs * endpoint.slowdownFactor() + endpoint.failureShare(nowMs) * FAILURE_MS;
		if (!endpoint.record().failureDomain().equals(this.ownDomain)) {
			costMs += REMOTE_DOMAIN_MS;
		}
		return costMs + demand.remoteBytes(endpoint.record().failureDomain()) / REMOTE_BYTES_PER_MS;
	}

	private static double engineMs(Endpoint endpoint, Prompt prompt, long nowMs) {
		int unread = prompt.promptTokens() - Math.min(prompt.promptTokens(), endpoint.cachedTokens(prompt));
		double readMs = (unread * UNREAD_WEIGHT + endpoint.prefillTokens(nowMs)) / PREFILL_TOKENS_PER_MS;
		double spread = hash(prompt.affinityKey() + '@' + endpoint.record().id());
		return readMs + endpoint.inFlight(nowMs) * DECODE_MS_PER_REQUEST + spread * HASH_SPREAD_MS;
	}

	private static double hash(String text) {
		int hash = text.hashCode() * 0x9E3779B9;
		hash ^= hash >>> 15;
		hash *= 0x85EBCA6B;
		hash ^= hash >>> 13;
		return (hash >>> 8) / (double) (1 << 24);
	}

	/**
	 * What a request needs of an endpoint.
	 *
	 * @param prompt the prompt
	 * @param inputs the results of earlier stages that the endpoint has to fetch
	 */
	public record Demand(Prompt prompt, Collection<Input> inputs) {

		private double remoteBytes(String domain) {
			double bytes = 0;
			for (Input input : this.inputs) {
				bytes += (input.failureDomain().equals(domain)) ? 0 : input.sizeBytes();
			}
			return bytes;
		}

	}

	/**
	 * The result of a stage.
	 *
	 * @param failureDomain where it lies
	 * @param sizeBytes its size in bytes
	 */
	public record Input(String failureDomain, long sizeBytes) {
	}

}
