package org.fulmargap.entry.request;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * Tests of {@link RunTimes}.
 */
class RunTimesTests {

	private final RunTimes times = new RunTimes();

	@Test
	void aRouteWithoutRunsHasNoTime() {
		this.times.record("other", 5_000);
		assertThat(this.times.longMs("read")).isZero();
	}

	@Test
	void runsOfOneLengthTakeThisTime() {
		for (int i = 0; i < 20; i++) {
			this.times.record("read", 5_000);
		}
		assertThat(this.times.longMs("read")).isCloseTo(5_000, within(1.0));
	}

	@Test
	void mostRunsOfDifferentLengthsEndWithinTheTime() {
		for (int i = 0; i < 40; i++) {
			this.times.record("read", (i % 4 == 0) ? 400 : 100);
		}
		assertThat(this.times.longMs("read")).isBetween(300.0, 600.0);
	}

}
