package org.fulmargap.entry;

import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link SuspendedTime}: without it, an endpoint that rested during a suspension
 * would be left out for that much longer.
 */
class SuspendedTimeTests {

	private final AtomicLong uptimeMs = new AtomicLong(50_000);

	private final SuspendedTime time = new SuspendedTime(this.uptimeMs::get, 1_000);

	@Test
	void aSuspensionIsCountedOnce() {
		this.uptimeMs.set(58_000);
		assertThat(this.time.passedMs(2_000)).isEqualTo(7_000);
		assertThat(this.time.passedMs(2_000)).isZero();
	}

	@Test
	void differencesOfTheClocksAreNoSuspension() {
		this.uptimeMs.set(51_020);
		assertThat(this.time.passedMs(2_000)).isZero();
	}

	@Test
	void nothingIsCountedWithoutTheTimeOfTheKernel() {
		this.uptimeMs.set(-1);
		assertThat(this.time.passedMs(2_000)).isZero();
	}

	@Test
	void nothingIsCountedIfTheTimeOfTheKernelBecomesKnownLater() {
		this.uptimeMs.set(-1);
		SuspendedTime late = new SuspendedTime(this.uptimeMs::get, 1_000);
		this.uptimeMs.set(50_000);
		assertThat(late.passedMs(1_000)).isZero();
	}

	@Test
	void theTimeOfThisMachineAdvances() throws InterruptedException {
		long beforeMs = SuspendedTime.uptimeMs();
		Thread.sleep(50);
		assertThat(SuspendedTime.uptimeMs()).isGreaterThan(beforeMs);
	}

}
