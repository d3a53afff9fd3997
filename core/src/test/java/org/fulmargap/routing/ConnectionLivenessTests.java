package org.fulmargap.routing;

import java.util.List;
import java.util.Optional;

import org.fulmargap.routing.ConnectionLiveness.Probe;
import org.fulmargap.routing.ConnectionLiveness.Verdict;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against waiting on dead connections and against cancelling slow calls.
 */
class ConnectionLivenessTests {

	private static Optional<LoadReport> report(long reportedAtMs, String... attempts) {
		return Optional.of(new LoadReport("i1", 1, 0, 4, reportedAtMs, List.of(attempts)));
	}

	private static Verdict decide(long silentMs, Probe probe, Optional<LoadReport> report) {
		return ConnectionLiveness.decide(silentMs, 400, probe, report, "vm-0/1/0/0", 1_000);
	}

	@Nested
	class Decisions {

		@Test
		void waitsBeforeTheLimitAndWhileTheProbeIsPending() {
			assertThat(decide(399, Probe.NO_ANSWER, report(2_000))).isEqualTo(Verdict.WAIT);
			assertThat(decide(400, Probe.PENDING, Optional.empty())).isEqualTo(Verdict.WAIT);
		}

		@Test
		void aConnectionIsDeadIfTheEndpointDoesNotListTheAttempt() {
			assertThat(decide(400, Probe.ANSWERED, report(2_000, "vm-0/2/0/0"))).isEqualTo(Verdict.DEAD);
		}

		@Test
		void waitsForASlowAttemptThatTheEndpointLists() {
			assertThat(decide(4_000, Probe.ANSWERED, report(2_000, "vm-0/1/0/0"))).isEqualTo(Verdict.WAIT);
		}

		@Test
		void waitsIfTheReportIsNotNewerThanTheCall() {
			assertThat(decide(400, Probe.ANSWERED, report(1_000))).isEqualTo(Verdict.WAIT);
		}

		@Test
		void anEndpointThatDoesNotAnswerIsSuspect() {
			assertThat(decide(400, Probe.of(false, 151), Optional.empty())).isEqualTo(Verdict.SUSPECT);
			assertThat(Probe.of(true, 150)).isEqualTo(Probe.ANSWERED);
			assertThat(Probe.of(false, 150)).isEqualTo(Probe.PENDING);
		}

		@Test
		void withoutLoadReportsTheConnectionIsDeadAfterOneAndAHalfLimits() {
			assertThat(decide(599, Probe.ANSWERED, Optional.empty())).isEqualTo(Verdict.WAIT);
			assertThat(decide(600, Probe.ANSWERED, Optional.empty())).isEqualTo(Verdict.DEAD);
		}

	}

}
