package org.fulmargap.routing;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Estimates which prompt prefixes one endpoint has in its cache. Not safe for use by
 * several threads.
 */
final class PrefixAffinity {

	/** An estimate keeps its full value for this time without use or event. */
	static final long DECAY_AFTER_MS = 60_000;

	private final int maxPrefixes;

	private final LinkedHashMap<String, Estimate> estimates = new LinkedHashMap<>(16, 0.75f, true);

	/**
	 * Creates an estimate without prefixes.
	 * @param maxPrefixes the highest number of prefixes kept; the least recently used are
	 * dropped first
	 */
	PrefixAffinity(int maxPrefixes) {
		this.maxPrefixes = maxPrefixes;
	}

	/**
	 * Returns the number of prompt tokens that are probably cached. The estimate halves
	 * for each minute without use after the first.
	 * @param prefixKey identifies the prefix
	 * @param promptTokens the number of tokens of the prompt
	 * @param nowMs the present time in milliseconds since the epoch
	 * @return the number of tokens
	 */
	int cachedTokens(String prefixKey, int promptTokens, long nowMs) {
		Estimate estimate = this.estimates.get(prefixKey);
		if (estimate == null) {
			return 0;
		}
		double tokens = estimate.tokens;
		long idleMs = nowMs - estimate.atMs;
		if (idleMs > DECAY_AFTER_MS) {
			tokens *= Math.pow(0.5, (idleMs - DECAY_AFTER_MS) / (double) DECAY_AFTER_MS);
		}
		return (int) Math.min(promptTokens, tokens);
	}

	/**
	 * Records an answer. After it, the endpoint holds the prefix. Its length is known
	 * only from answers that found it cached; until then, half of the prompt is assumed.
	 * @param prefixKey identifies the prefix
	 * @param promptTokens the number of tokens of the prompt
	 * @param cachedTokens the number of tokens that the endpoint found in its cache
	 * @param nowMs the present time in milliseconds since the epoch
	 */
	void answered(String prefixKey, int promptTokens, int cachedTokens, long nowMs) {
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
	 * @param nowMs the present time in milliseconds since the epoch
	 */
	void event(String prefixKey, int tokens, long nowMs) {
		if (tokens > 0) {
			put(prefixKey, tokens, nowMs);
		}
		else {
			this.estimates.remove(prefixKey);
		}
	}

	/**
	 * Forgets all prefixes, because the endpoint has restarted.
	 */
	void clear() {
		this.estimates.clear();
	}

	/**
	 * Tells whether queueing for a cached prefix takes less time than computing it.
	 * @param waitMs the expected wait in the queue of the endpoint
	 * @param cachedTokens the number of tokens that need not be computed
	 * @param msPerToken the time to compute one token of a prompt
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
