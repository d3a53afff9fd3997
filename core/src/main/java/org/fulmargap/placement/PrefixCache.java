package org.fulmargap.placement;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * An estimate of the contents of a model engine's prefix cache: the prompt parts that
 * this VM or a peer has sent there. The least recently used parts are evicted first, as
 * in the engine.
 */
final class PrefixCache {

	/** The share of an engine's memory that is assumed to hold cached parts. */
	private static final double CACHE_SHARE = 0.6;

	/** The largest number of parts; parts of no tokens would never be evicted. */
	static final int MAX_PARTS = 4_096;

	private final LinkedHashMap<String, Integer> tokensByPart = new LinkedHashMap<>(16, 0.75f, true);

	private long tokens;

	/**
	 * Returns the number of tokens at the beginning of a prompt that need no prefill.
	 * @param prompt the prompt
	 * @return the number of tokens
	 */
	int cachedTokens(Prompt prompt) {
		int cached = 0;
		for (PromptPart part : prompt.parts()) {
			if (!this.tokensByPart.containsKey(part.id())) {
				break;
			}
			cached += part.tokens();
		}
		return cached;
	}

	/**
	 * Adds the parts of a prompt that was sent to the engine.
	 * @param prompt the prompt
	 * @param capacityTokens the memory of the engine in tokens
	 */
	void add(Prompt prompt, long capacityTokens) {
		for (PromptPart part : prompt.parts()) {
			Integer known = this.tokensByPart.put(part.id(), part.tokens());
			this.tokens += part.tokens() - ((known != null) ? known : 0);
		}
		var oldest = this.tokensByPart.entrySet().iterator();
		while (oldest.hasNext()
				&& (this.tokens > capacityTokens * CACHE_SHARE || this.tokensByPart.size() > MAX_PARTS)) {
			Map.Entry<String, Integer> part = oldest.next();
			this.tokens -= part.getValue();
			oldest.remove();
		}
	}

	int size() {
		return this.tokensByPart.size();
	}

	void clear() {
		this.tokensByPart.clear();
		this.tokens = 0;
	}

}
