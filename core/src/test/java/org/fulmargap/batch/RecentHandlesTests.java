package org.fulmargap.batch;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link RecentHandles}.
 */
class RecentHandlesTests {

	private final RecentHandles recent = new RecentHandles(3);

	@Test
	void aCopyOfAnAnswerIsDetected() {
		assertThat(this.recent.add(List.of("a", "b"))).isTrue();
		assertThat(this.recent.add(List.of("a", "b"))).isFalse();
		assertThat(this.recent.add(List.of("b", "c"))).isFalse();
		assertThat(this.recent.add(List.of("c"))).isTrue();
	}

	@Test
	void anAnswerWithOneResultTwiceIsNotAccepted() {
		assertThat(this.recent.add(List.of("a", "a"))).isFalse();
	}

	@Test
	void answersWithoutResultsAreNoCopies() {
		assertThat(this.recent.add(List.of())).isTrue();
		assertThat(this.recent.add(List.of())).isTrue();
	}

	@Test
	void largeAnswersDoNotDisplaceOneAnother() {
		assertThat(this.recent.add(List.of("a", "b", "c"))).isTrue();
		assertThat(this.recent.add(List.of("d", "e", "f"))).isTrue();
		assertThat(this.recent.add(List.of("a", "b", "c"))).isFalse();
	}

	@Test
	void theOldestAnswersAreForgotten() {
		for (String answer : List.of("a", "b", "c", "d")) {
			this.recent.add(List.of(answer));
		}
		assertThat(this.recent.add(List.of("b"))).isFalse();
		assertThat(this.recent.add(List.of("a"))).isTrue();
	}

}
