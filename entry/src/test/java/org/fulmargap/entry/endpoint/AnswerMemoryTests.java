package org.fulmargap.entry.endpoint;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link AnswerMemory}.
 */
class AnswerMemoryTests {

	private static final int MIB = 1 << 20;

	private final AnswerMemory memory = new AnswerMemory();

	private final List<String> waits = new ArrayList<>();

	private AnswerMemory.Share share(String name, boolean hasLength) {
		return this.memory.share(hasLength, (allowed) -> this.waits.add(name + '=' + allowed));
	}

	@Test
	void largeAnswersWaitForTheOldestOne() {
		List<AnswerMemory.Share> shares = new ArrayList<>();
		for (int i = 0; i < 6; i++) {
			shares.add(share("a" + i, true));
		}
		for (AnswerMemory.Share share : shares) {
			assertThat(share.hold(4 * MIB)).isTrue();
		}
		assertThat(this.waits).containsExactly("a4=false", "a5=false");
		assertThat(shares.get(0).hold(5 * MIB)).isTrue();
		shares.get(0).close();
		assertThat(this.waits).hasSize(2);
		shares.get(1).close();
		assertThat(this.waits).endsWith("a4=true", "a5=true");
		assertThat(this.memory.usedBytes()).isEqualTo(16L * MIB);
	}

	@Test
	void oneAnswerAlwaysGoesOn() {
		try (AnswerMemory.Share first = share("a", true); AnswerMemory.Share second = share("b", true)) {
			first.hold(10 * MIB);
			second.hold(10 * MIB);
			assertThat(this.waits).containsExactly("b=false");
			first.close();
			assertThat(this.waits).endsWith("b=true");
		}
	}

	@Test
	void aLargeAnswerWithoutLengthIsGivenUpWhenMemoryRunsOut() {
		try (AnswerMemory.Share large = share("a", true);
				AnswerMemory.Share endless = share("b", false);
				AnswerMemory.Share small = share("c", false)) {
			large.hold(15 * MIB);
			assertThat(endless.hold(MIB)).isTrue();
			assertThat(endless.hold(MIB + 1)).isFalse();
			assertThat(small.hold(1_000)).isTrue();
			assertThat(this.waits).isEmpty();
		}
		assertThat(this.memory.usedBytes()).isZero();
	}

}
