package org.fulmargap.fleet;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against VMs that stay behind the store for good, or that ask peers for what
 * arrives anyway.
 */
class RecordLagTests {

	private final RecordLag lag = new RecordLag();

	private static StorePosition at(long offset) {
		return new StorePosition(0, offset);
	}

	@Test
	void recordsAreRequestedOnceTheVmHasBeenBehindForAWhile() {
		this.lag.advanced(at(5));
		assertThat(this.lag.shouldRequest(at(6), 900, 0)).isFalse();
		assertThat(this.lag.shouldRequest(at(6), 900, 899)).isFalse();
		assertThat(this.lag.shouldRequest(at(6), 900, 900)).isTrue();
		assertThat(this.lag.shouldRequest(at(6), 900, 1_000)).isFalse();
	}

	@Test
	void peersThatAreBehindAsWellDoNotResetTheDelay() {
		this.lag.advanced(at(5));
		for (long nowMs = 0; nowMs < 900; nowMs += 250) {
			assertThat(this.lag.shouldRequest(at(6), 900, nowMs)).isFalse();
			assertThat(this.lag.shouldRequest(at(5), 900, nowMs)).isFalse();
		}
		assertThat(this.lag.shouldRequest(at(6), 900, 1_000)).isTrue();
	}

	@Test
	void recordsThatArriveMeanwhileEndTheDelay() {
		this.lag.advanced(at(5));
		assertThat(this.lag.shouldRequest(at(6), 900, 0)).isFalse();
		this.lag.advanced(at(6));
		assertThat(this.lag.shouldRequest(at(6), 900, 1_000)).isFalse();
		assertThat(this.lag.shouldRequest(at(7), 900, 1_500)).isFalse();
	}

	@Test
	void withoutPatienceRecordsAreRequestedAtOnce() {
		assertThat(this.lag.shouldRequest(at(6), 0, 0)).isTrue();
	}

	@Test
	void nothingIsRequestedOfAPeerThatKnowsNoHistories() {
		this.lag.advanced(new StorePosition(2, 5));
		assertThat(this.lag.shouldRequest(at(9), 0, 0)).isFalse();
		assertThat(this.lag.shouldRequest(new StorePosition(2, 6), 0, 1)).isTrue();
	}

}
