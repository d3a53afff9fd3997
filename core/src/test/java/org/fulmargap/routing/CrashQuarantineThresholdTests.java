package org.fulmargap.routing;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against refusing a request too early where {@link CrashQuarantine} has a
 * threshold other than the default.
 */
class CrashQuarantineThresholdTests {

	private final CrashQuarantine quarantine = new CrashQuarantine(10, 3);

	@Test
	void requestsThatWereInFlightAtTwoCrashesStillRun() {
		this.quarantine.recordCrash("one", List.of("read"), 0);
		this.quarantine.recordCrash("two", List.of("read"), 0);
		assertThat(this.quarantine.verdict("read", 1).mayRun()).isTrue();
		this.quarantine.completed("read");
		this.quarantine.recordCrash("three", List.of("read"), 2);
		assertThat(this.quarantine.verdict("read", 3).mayRun()).isTrue();
	}

	@Test
	void theThirdCrashWithoutASuccessBetweenQuarantinesARequest() {
		for (String endpoint : List.of("one", "two", "three")) {
			this.quarantine.recordCrash(endpoint, List.of("poison"), 0);
		}
		assertThat(this.quarantine.verdict("poison", 1).mayRun()).isFalse();
	}

}
