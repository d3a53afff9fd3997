package org.fulmargap.entry.request;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that count as in time although they waited before they were
 * handled.
 */
class DeadlineTests {

	@Test
	void theTimeThatTheRequestWaitedIsTakenOffTheStatedTime() {
		assertThat(Deadline.of(335, 2_000, 0, 10_000).leftMs(10_000)).isEqualTo(335);
		assertThat(Deadline.of(335, 2_000, 300, 10_000).leftMs(10_030)).isEqualTo(5);
		assertThat(Deadline.of(335, 2_000, 335, 10_000).isPassed(10_000)).isTrue();
	}

	@Test
	void theLimitOfTheRouteCountsFromTheArrivalAtTheVm() {
		assertThat(Deadline.of(-1, 2_000, 900, 10_000).leftMs(10_000)).isEqualTo(2_000);
		assertThat(Deadline.of(5_000, 2_000, 900, 10_000).leftMs(10_000)).isEqualTo(2_000);
	}

}
