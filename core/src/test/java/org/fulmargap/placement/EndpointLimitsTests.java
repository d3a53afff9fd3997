package org.fulmargap.placement;

import java.util.List;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link EndpointLimits} and of the limits in an {@link EndpointDirectory}.
 */
class EndpointLimitsTests {

	private static final EndpointProcess PROCESS = new EndpointProcess("e", 1);

	private final EndpointDirectory directory = new EndpointDirectory();

	private final EndpointLimits limits = new EndpointLimits(LimitShares.WHOLE);

	private Endpoint endpoint;

	@BeforeEach
	void listEndpoint() {
		this.directory.put(Endpoints.record("e", "a", false, 0), 0);
		this.endpoint = this.directory.find("e").orElseThrow();
	}

	private void limit(double perSecond, long nowMs) {
		this.directory.recordLimit(PROCESS, new NamedLimit(perSecond, nowMs));
	}

	private boolean trySend(int priority, long nowMs) {
		boolean sendable = !this.limits.sendable(List.of(this.endpoint), priority, nowMs).isEmpty();
		if (sendable) {
			this.limits.sent(this.endpoint, priority);
		}
		return sendable;
	}

	@Nested
	class Observations {

		@Test
		void theNewestValueCounts() {
			limit(1, 0);
			limit(5, 100);
			limit(3, 50);
			assertThat(EndpointLimitsTests.this.endpoint.limitPerSecond()).hasValue(5);
		}

		@Test
		void anAnswerToACallThatWasSentBeforeTheLimitWasNamedDoesNotEndIt() {
			limit(1, 100);
			EndpointLimitsTests.this.directory.recordNoLimit(PROCESS, 90, 500);
			assertThat(EndpointLimitsTests.this.endpoint.limitPerSecond()).hasValue(1);
			EndpointLimitsTests.this.directory.recordNoLimit(PROCESS, 110, 510);
			assertThat(EndpointLimitsTests.this.endpoint.limitPerSecond()).isEmpty();
		}

		@Test
		void anOlderReportDoesNotBringALimitBackThatEnded() {
			limit(1, 100);
			EndpointLimitsTests.this.directory.recordNoLimit(PROCESS, 200, 300);
			limit(1, 250);
			assertThat(EndpointLimitsTests.this.endpoint.limitPerSecond()).isEmpty();
		}

		@Test
		void theEndOfALimitIsReportedForSomeTime() {
			limit(1, 100);
			assertThat(EndpointLimitsTests.this.directory.limits(60_000)).containsOnlyKeys(PROCESS);
			EndpointLimitsTests.this.directory.recordNoLimit(PROCESS, 200, 300);
			assertThat(EndpointLimitsTests.this.directory.limits(1_000)).containsEntry(PROCESS,
					new NamedLimit(NamedLimit.UNLIMITED, 300));
			assertThat(EndpointLimitsTests.this.directory.limits(10_000)).isEmpty();
		}

		@Test
		void aNewProcessHasNoLimit() {
			limit(1, 100);
			EndpointLimitsTests.this.directory
				.put(new EndpointRecord("e", "service", "10.0.0.1:80", "a", 8, false, 0, 2), 200);
			assertThat(EndpointLimitsTests.this.endpoint.limitPerSecond()).isEmpty();
		}

	}

	@Nested
	class Tokens {

		@Test
		void aSuspensionOfTheVmFillsNoMoreThanTheCapacity() {
			limit(1, 0);
			assertThat(trySend(0, 0)).isFalse();
			assertThat(trySend(0, 3_600_000)).isTrue();
			assertThat(trySend(0, 3_600_000)).isFalse();
		}

		@Test
		void someRequestsAreSentAtALimitOfZeroSoThatItsEndIsLearned() {
			limit(0, 0);
			int sent = 0;
			for (long nowMs = 0; nowMs <= 60_000; nowMs += 100) {
				sent += trySend(0, nowMs) ? 1 : 0;
			}
			assertThat(sent).isBetween(5, 6);
		}

		@Test
		void theTimeUntilTheNextRequestIsTrue() {
			limit(1, 0);
			trySend(0, 0);
			long waitMs = EndpointLimitsTests.this.limits.waitMs(List.of(EndpointLimitsTests.this.endpoint), 0, 0);
			assertThat(trySend(0, waitMs - 10)).isFalse();
			assertThat(trySend(0, waitMs)).isTrue();
		}

		@Test
		void aRequestOfALowerPriorityLeavesTheTokenToOneThatWasRefused() {
			limit(1, 0);
			trySend(1, 0);
			EndpointLimitsTests.this.limits.refused("service", 1, 1_200, 0);
			assertThat(trySend(2, 1_500)).isFalse();
			assertThat(trySend(1, 1_500)).isTrue();
			assertThat(trySend(2, 3_000)).isTrue();
		}

		@Test
		void aRequestOfALowerPriorityIsSentIfTheRefusedOneDoesNotReturn() {
			limit(1, 0);
			trySend(1, 0);
			EndpointLimitsTests.this.limits.refused("service", 1, 1_200, 0);
			assertThat(trySend(2, 2_500)).isTrue();
		}

		@Test
		void releasesAreSentOnlyIfATokenIsLeftForWork() {
			limit(1, 0);
			trySend(0, 0);
			assertThat(EndpointLimitsTests.this.limits.trySpare(EndpointLimitsTests.this.endpoint, 60_000)).isFalse();
			limit(10, 60_000);
			trySend(0, 120_000);
			assertThat(EndpointLimitsTests.this.limits.trySpare(EndpointLimitsTests.this.endpoint, 120_000)).isTrue();
		}

	}

}
