package org.fulmargap.placement;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.fulmargap.catalog.ServiceSpec;

/**
 * Chooses the endpoint with the lowest expected cost for a request. The cost is mainly
 * the time to the first token, or the time of the answer of a plain endpoint.
 */
public final class Placement {

	/**
	 * The prefill rate of an engine in tokens per millisecond, from the users' data
	 * sheets.
	 */
	public static final double PREFILL_TOKENS_PER_MS = 38;

	/** The delay by the decoding of each request in flight, in milliseconds. */
	static final double DECODE_MS_PER_REQUEST = 3;

	/**
	 * The time of a request at an idle engine that has its prompt in the cache, in
	 * milliseconds.
	 */
	private static final double ENGINE_BASE_MS = 20;

	/** The cost of each request at a plain endpoint, in milliseconds. */
	static final double PLAIN_MS_PER_REQUEST = 20;

	/** The round-trip time to another failure domain, in milliseconds. */
	static final double REMOTE_DOMAIN_MS = 2;

	/** The cost of a failed call, in milliseconds: about that of a caller's retry. */
	private static final double FAILURE_MS = 1_000;

	/** The input bytes from other failure domains that cost one millisecond. */
	static final double REMOTE_BYTES_PER_MS = 20_000;

	/**
	 * The weight of a prompt token of this request that needs prefill, relative to one
	 * already waiting. It is higher because the prefill also delays the other requests of
	 * the engine.
	 */
	static final double UNREAD_WEIGHT = 3;

	/**
	 * The highest cost added by the hash of the shared prompt part, in milliseconds. It
	 * breaks ties so that all VMs prefer the same engine.
	 */
	private static final double HASH_SPREAD_MS = 40;

	private final String ownDomain;

	private final boolean bySpeed;

	/**
	 * Creates the placement for one entry VM, which takes the speeds of engines into
	 * account.
	 * @param ownDomain the failure domain of the VM
	 */
	public Placement(String ownDomain) {
		this(ownDomain, true);
	}

	/**
	 * Creates the placement for one entry VM.
	 * @param ownDomain the failure domain of the VM
	 * @param bySpeed whether the speeds of engines count that differ clearly
	 */
	public Placement(String ownDomain, boolean bySpeed) {
		this.ownDomain = ownDomain;
		this.bySpeed = bySpeed;
	}

	/**
	 * Chooses an endpoint.
	 * @param available the endpoints that may get new work
	 * @param excluded the names of endpoints that this request must not use again
	 * @param service the service of the endpoints
	 * @param demand what the request needs
	 * @param vmCount the number of entry VMs that share the rate limit of cold endpoints
	 * @param nowMs the current time in milliseconds
	 * @return the choice, or empty if all endpoints are excluded or at their cold-start
	 * limit
	 */
	public Optional<Choice> choose(List<Endpoint> available, Set<String> excluded, ServiceSpec service, Demand demand,
			int vmCount, long nowMs) {
		Optional<Choice> healthy = best(available, excluded, service, demand, vmCount, false, nowMs);
		// If all are suspended, trying one of them is better than refusing the request.
		return (healthy.isPresent()) ? healthy : best(available, excluded, service, demand, vmCount, true, nowMs);
	}

	/**
	 * Chooses one of the preferred endpoints, or another one if none of them takes the
	 * request now.
	 * @param preferred the available endpoints that are tried first
	 * @param available the endpoints that may get new work
	 * @param excluded the names of endpoints that this request must not use again
	 * @param service the service of the endpoints
	 * @param demand what the request needs
	 * @param vmCount the number of entry VMs that share the rate limit of cold endpoints
	 * @param nowMs the current time in milliseconds
	 * @return the choice, or empty if all endpoints are excluded or at their cold-start
	 * limit
	 */
	public Optional<Choice> choose(List<Endpoint> preferred, List<Endpoint> available, Set<String> excluded,
			ServiceSpec service, Demand demand, int vmCount, long nowMs) {
		if (preferred.size() == available.size()) {
			return choose(available, excluded, service, demand, vmCount, nowMs);
		}
		// A healthy endpoint that is not preferred is better than a suspended one that
		// is.
		Optional<Choice> choice = best(preferred, excluded, service, demand, vmCount, false, nowMs);
		return (choice.isPresent()) ? choice : choose(available, excluded, service, demand, vmCount, nowMs);
	}

	private Optional<Choice> best(List<Endpoint> available, Set<String> excluded, ServiceSpec service, Demand demand,
			int vmCount, boolean includeSuspended, long nowMs) {
		Endpoint best = null;
		double bestMs = Double.MAX_VALUE;
		EngineSpeeds speeds = new EngineSpeeds((this.bySpeed && service.engine() != null) ? available : List.of(),
				nowMs);
		double coldShare = service.coldPerSecond() / Math.max(1, vmCount);
		int candidates = 0;
		for (Endpoint endpoint : available) {
			boolean usable = !excluded.contains(endpoint.record().id())
					&& (includeSuspended || !endpoint.isSuspended(nowMs))
					&& endpoint.isWithinColdStartLimit(coldShare, nowMs);
			if (!usable) {
				continue;
			}
			candidates++;
			double costMs = costMs(endpoint, service, demand, speeds, nowMs);
			if (costMs < bestMs) {
				best = endpoint;
				bestMs = costMs;
			}
		}
		if (best == null) {
			return Optional.empty();
		}
		// Records the rate and time of this check in the limiter of the chosen endpoint.
		best.isWithinColdStartLimit(coldShare, nowMs);
		return Optional.of(new Choice(best, bestMs, candidates, best.cachedTokens(demand.prompt())));
	}

	private double costMs(Endpoint endpoint, ServiceSpec service, Demand demand, EngineSpeeds speeds, long nowMs) {
		double workMs = (service.engine() != null) ? engineMs(endpoint, demand.prompt(), speeds, nowMs)
				: (1 + endpoint.inFlight(nowMs)) * PLAIN_MS_PER_REQUEST;
		double costMs = workMs * endpoint.slowdownFactor(nowMs) + endpoint.failureShare(nowMs) * FAILURE_MS;
		if (!endpoint.record().failureDomain().equals(this.ownDomain)) {
			costMs += REMOTE_DOMAIN_MS;
		}
		return costMs + demand.remoteBytes(endpoint.record().failureDomain()) / REMOTE_BYTES_PER_MS;
	}

	/**
	 * Returns the time to the first event to expect of an engine of usual speed, with the
	 * load before the request is sent.
	 * @param endpoint the engine
	 * @param prompt the prompt
	 * @param nowMs the current time in milliseconds
	 * @return the time in milliseconds
	 */
	public static double firstEventMs(Endpoint endpoint, Prompt prompt, long nowMs) {
		double tokens = unread(endpoint, prompt) + endpoint.prefillTokens(nowMs);
		return ENGINE_BASE_MS + tokens / PREFILL_TOKENS_PER_MS + endpoint.inFlight(nowMs) * DECODE_MS_PER_REQUEST;
	}

	private static int unread(Endpoint endpoint, Prompt prompt) {
		return prompt.promptTokens() - Math.min(prompt.promptTokens(), endpoint.cachedTokens(prompt));
	}

	private static double engineMs(Endpoint endpoint, Prompt prompt, EngineSpeeds speeds, long nowMs) {
		int unread = unread(endpoint, prompt);
		double prefillMs = (unread * UNREAD_WEIGHT + endpoint.prefillTokens(nowMs)) / PREFILL_TOKENS_PER_MS;
		double spread = hash(prompt.affinityKey() + '@' + endpoint.record().id());
		double decodeMs = endpoint.inFlight(nowMs) * DECODE_MS_PER_REQUEST;
		// The weight of unread tokens stands for other requests, which wait elsewhere
		// too.
		double slowMs = (speeds.factor(endpoint) - 1) * firstEventMs(endpoint, prompt, nowMs);
		return prefillMs + decodeMs + slowMs + spread * HASH_SPREAD_MS;
	}

	static double hash(String text) {
		int hash = text.hashCode() * 0x9E3779B9;
		hash ^= hash >>> 15;
		hash *= 0x85EBCA6B;
		hash ^= hash >>> 13;
		return (hash >>> 8) / (double) (1 << 24);
	}

	/**
	 * What a request needs from an endpoint.
	 *
	 * @param prompt the prompt, {@link Prompt#NONE} for plain requests
	 * @param inputs the results of earlier stages that the endpoint has to fetch
	 */
	public record Demand(Prompt prompt, Collection<Input> inputs) {

		double remoteBytes(String domain) {
			double bytes = 0;
			for (Input input : this.inputs) {
				bytes += (input.failureDomain().equals(domain)) ? 0 : input.sizeBytes();
			}
			return bytes;
		}

	}

	/**
	 * The result of a work item, as an input of a request.
	 *
	 * @param failureDomain the failure domain of the endpoint that keeps it
	 * @param sizeBytes its size in bytes
	 */
	public record Input(String failureDomain, long sizeBytes) {
	}

}
