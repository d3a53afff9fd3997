package org.fulmargap.standin;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Bounded cache of prompt prefixes in blocks of 16 tokens. Evicts the least recently used
 * blocks.
 */
final class PrefixCache {

	private static final int BLOCK_TOKENS = 16;

	private final Map<Long, Boolean> blocks;

	PrefixCache(int maxBlocks) {
		this.blocks = new LinkedHashMap<>(16, 0.75f, true) {
			@Override
			protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
				return size() > maxBlocks;
			}
		};
	}

	static String[] promptTokens(String input) {
		return input.isBlank() ? new String[0] : input.strip().split("\\s+");
	}

	/**
	 * Looks up the prefix of a prompt, and caches the prompt.
	 * @param tokens the tokens of the prompt
	 * @return the number of leading tokens that were cached
	 */
	synchronized int lookUpAndCache(String[] tokens) {
		int cached = 0;
		boolean allHit = true;
		long hash = 1;
		for (int index = 0; index < tokens.length; index++) {
			hash = hash * 1_000_003 + tokens[index].hashCode();
			if ((index + 1) % BLOCK_TOKENS == 0) {
				allHit = this.blocks.put(hash, Boolean.TRUE) != null && allHit;
				cached = allHit ? index + 1 : cached;
			}
		}
		return cached;
	}

	synchronized void clear() {
		this.blocks.clear();
	}

}
