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
	void answersWithoutResultsAreNoCopies() {
		assertThat(this.recent.add(List.of())).isTrue();
		assertThat(this.recent.add(List.of())).isTrue();
	}

	@Test
	void theOldestHandlesAreForgotten() {
		this.recent.add(List.of("a", "b"));
		this.recent.add(List.of("c", "d"));
		assertThat(this.recent.add(List.of("a"))).isTrue();
		assertThat(this.recent.add(List.of("d"))).isFalse();
	}

}
