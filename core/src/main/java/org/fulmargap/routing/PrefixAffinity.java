package org.fulmargap.routing;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Estimates which prompt prefixes one endpoint has in its cache. Not safe for use by
 * several threads.
 */
final class PrefixAffinity {

	/**
	 * An estimate that is not updated for longer than this decays. It is also the
	 * half-life of the decay.
	 */
	static final long DECAY_MS = 60_000;

	private final int maxPrefixes;

	private final LinkedHashMap<String, Estimate> estimates = new LinkedHashMap<>(16, 0.75f, true);

	/**
	 * Creates an instance without prefixes.
	 * @param maxPrefixes the highest number of prefixes kept; the least recently used are
	 * dropped first
	 */
	PrefixAffinity(int maxPrefixes) {
		this.maxPrefixes = maxPrefixes;
	}

	/**
	 * Returns the number of prompt tokens that are probably cached. After one minute
	 * without an update, the estimate halves each minute.
	 * @param prefixKey identifies the prefix
	 * @param promptTokens the number of tokens of the prompt
	 * @param nowMs the current time in milliseconds since the epoch
	 * @return the number of tokens, at most {@code promptTokens}
	 */
	int cachedTokens(String prefixKey, int promptTokens, long nowMs) {
		Estimate estimate = this.estimates.get(prefixKey);
		if (estimate == null) {
			return 0;
		}
		double tokens = estimate.tokens;
		long idleMs = nowMs - estimate.atMs;
		if (idleMs > DECAY_MS) {
			tokens *= Math.pow(0.5, (idleMs - DECAY_MS) / (double) DECAY_MS);
		}
		return (int) Math.min(promptTokens, tokens);
	}

	/**
	 * Records an answer, after which the endpoint has the prefix in its cache. The length
	 * of the prefix is known only from answers that found it cached; until then, half of
	 * the prompt is assumed.
	 * @param prefixKey identifies the prefix
	 * @param promptTokens the number of tokens of the prompt
	 * @param cachedTokens the number of tokens that the endpoint found in its cache
	 * @param nowMs the current time in milliseconds since the epoch
	 */
	void recordAnswer(String prefixKey, int promptTokens, int cachedTokens, long nowMs) {
		Estimate known = this.estimates.get(prefixKey);
		int tokens = cachedTokens;
		if (tokens <= 0) {
			tokens = (known != null) ? known.tokens : promptTokens / 2;
		}
		put(prefixKey, tokens, nowMs);
	}

	/**
	 * Records a cache event of the endpoint.
	 * @param prefixKey identifies the prefix
	 * @param tokens the number of cached tokens, zero if the prefix was evicted
	 * @param nowMs the current time in milliseconds since the epoch
	 */
	void recordCacheEvent(String prefixKey, int tokens, long nowMs) {
		if (tokens > 0) {
			put(prefixKey, tokens, nowMs);
		}
		else {
			this.estimates.remove(prefixKey);
		}
	}

	/**
	 * Removes all estimates after a restart of the endpoint, which empties its cache.
	 */
	void clear() {
		this.estimates.clear();
	}

	/**
	 * Returns whether queueing for a cached prefix takes less time than computing it.
	 * @param waitMs the expected wait in the queue of the endpoint in milliseconds
	 * @param cachedTokens the number of tokens that need not be computed
	 * @param msPerToken the time to compute one token of a prompt in milliseconds
	 * @return {@code true} if the wait is shorter
	 */
	static boolean isWorthQueueing(double waitMs, int cachedTokens, double msPerToken) {
		return waitMs < cachedTokens * msPerToken;
	}

	private void put(String prefixKey, int tokens, long nowMs) {
		this.estimates.put(prefixKey, new Estimate(tokens, nowMs));
		if (this.estimates.size() > this.maxPrefixes) {
			Iterator<Map.Entry<String, Estimate>> eldest = this.estimates.entrySet().iterator();
			eldest.next();
			eldest.remove();
		}
	}

	private record Estimate(int tokens, long atMs) {
	}

}
