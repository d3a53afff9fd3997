package org.fulmargap.placement;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against estimates of prefix caches that grow without bound.
 */
class PrefixCacheTests {

	@Test
	void partsWithoutTokensAreEvicted() {
		PrefixCache cache = new PrefixCache();
		for (int i = 0; i < 20_000; i++) {
			cache.add(new Prompt(0, 0, List.of(new PromptPart("part" + i, 0))), 1_000);
		}
		assertThat(cache.size()).isLessThan(10_000);
	}

	@Test
	void thePartsThatWereUsedLastAreKept() {
		PrefixCache cache = new PrefixCache();
		cache.add(new Prompt(500, 0, List.of(new PromptPart("a", 500))), 1_000);
		cache.add(new Prompt(500, 0, List.of(new PromptPart("b", 500))), 1_000);
		assertThat(cache.cachedTokens(new Prompt(500, 0, List.of(new PromptPart("a", 500))))).isZero();
		assertThat(cache.cachedTokens(new Prompt(500, 0, List.of(new PromptPart("b", 500))))).isEqualTo(500);
	}

}
