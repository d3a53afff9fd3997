package org.fulmargap.entry.request;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link CallerTimes}.
 */
class CallerTimesTests {

	private final CallerTimes times = new CallerTimes();

	@Test
	void slightlyShorterTimeIsAFirstAttempt() {
		assertThat(this.times.elapsedMs("route", 6_000)).isZero();
		assertThat(this.times.elapsedMs("route", 5_100)).isZero();
	}

	@Test
	void clearlyShorterTimeIsARetry() {
		this.times.elapsedMs("route", 6_000);
		assertThat(this.times.elapsedMs("route", 4_500)).isBetween(900L, 1_500L);
	}

	@Test
	void routesAreIndependent() {
		this.times.elapsedMs("slow route", 20_000);
		assertThat(this.times.elapsedMs("route", 6_000)).isZero();
	}

}
