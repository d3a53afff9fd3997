package org.fulmargap.entry.request;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link RetryAfterSpread}.
 */
class RetryAfterSpreadTests {

	@Test
	void callersReturnAroundATimeThatTheyHave() {
		assertThat(RetryAfterSpread.AROUND.spreadMs(400, 10_000, 0)).isEqualTo(300);
		assertThat(RetryAfterSpread.AROUND.spreadMs(400, 10_000, 1)).isEqualTo(500);
		assertThat(RetryAfterSpread.AROUND.spreadMs(400, 800, 0.5)).isEqualTo(200);
	}

	// A caller that returns before the end of the rest is refused again.
	@Test
	void callersReturnAfterTheEndOfTheRestAndNotInOneInstant() {
		assertThat(RetryAfterSpread.AFTER.spreadMs(2_001, 100, 0)).isEqualTo(2_010);
		assertThat(RetryAfterSpread.AFTER.spreadMs(2_000, 100, 1)).isEqualTo(3_000);
		assertThat(RetryAfterSpread.AFTER.spreadMs(10, 100, 1)).isEqualTo(510);
	}

}
