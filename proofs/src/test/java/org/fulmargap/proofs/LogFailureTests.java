package org.fulmargap.proofs;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.fulmargap.standin.Conditions;
import org.fulmargap.standin.LoopbackClient.Answer;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Failures of the platform's log: lost answers to appends, and outages.
 */
class LogFailureTests {

	@Nested
	class AnswerLost extends Proof {

		/**
		 * Guards against a claim that takes effect twice, or not at all, when its append
		 * is repeated after a lost answer.
		 */
		@Test
		void runsTheActionOnceAndAnswersResends() throws Exception {
			this.cluster.platformFaults(Map.of("lose_append_answers", -1));
			CompletableFuture<Answer> request = action(this.first, "answer-lost");
			awaitExecution("answer-lost");
			Answer answer = answer(request);
			this.cluster.platformFaults(Map.of("reset", true));
			assertThat(answer.status()).isEqualTo(200);
			Answer resent = answer(action(this.second, "answer-lost"));
			assertThat(resent.status()).isEqualTo(200);
			assertAtMostOnce("answer-lost", answer, resent);
		}

	}

	@Nested
	class Down extends Proof {

		/**
		 * Guards against actions that run without a claim, and against an outage of the
		 * log that stops idempotent requests.
		 */
		@Test
		void refusesActionsAsNotRunAndServesReads() throws Exception {
			this.cluster.platformFaults(Map.of("down", true));
			Answer refused = answer(action(this.first, "log-down"));
			assertThat(refused.errorType()).isEqualTo("NOT_RUN");
			assertAtMostOnce("log-down", refused);
			assertReadsAreAnswered(this.first, this.second, this.third);
			this.cluster.platformFaults(Map.of("down", false));
			Conditions.await("the action to run after the outage",
					() -> answer(action(this.second, "log-down")).status() == 200);
			assertThat(this.cluster.executionsOfKey("log-down")).isEqualTo(1);
		}

		/**
		 * Guards against a failure domain that cannot be taken out of service while the
		 * log is down (P3).
		 */
		@Test
		void failureDomainThatIsOutGetsNoNewWorkAfterThreeSeconds() throws Exception {
			this.cluster.platformFaults(Map.of("down", true));
			long startNs = System.nanoTime();
			assertThat(this.cluster.order(this.first, "bog-sur", "OUT").status()).isEqualTo(200);
			Conditions.await("3 s after the order", () -> {
				assertReadsAreAnswered(this.first, this.second, this.third);
				return System.nanoTime() - startNs > TimeUnit.SECONDS.toNanos(3);
			});
			int executionsBefore = this.cluster.executionsIn("bog-sur");
			for (int round = 0; round < 10; round++) {
				assertReadsAreAnswered(this.first, this.second, this.third);
			}
			assertThat(this.cluster.executionsIn("bog-sur")).isEqualTo(executionsBefore);
			this.cluster.order(this.second, "bog-sur", "IN");
			Conditions.await("work in the failure domain after it is back in service", () -> {
				assertReadsAreAnswered(this.first, this.second, this.third);
				return this.cluster.executionsIn("bog-sur") > executionsBefore;
			});
		}

		/**
		 * Guards against a VM that cannot restart during an outage of the log, or
		 * restarts with an old configuration version.
		 */
		@Test
		void restartedVmServesTheVersionOfItsPeers() throws Exception {
			this.cluster.patch(this.second, "{\"accounts\":{\"andinas\":{\"weight\":3}}}");
			long configVersion = configVersion();
			this.cluster.platformFaults(Map.of("down", true));
			this.first.kill();
			this.first.start();
			Conditions.await("the restarted VM to be ready",
					() -> this.cluster.get(this.first.adminUrl() + "/health/ready").path("ready").asBoolean());
			assertThat(configVersion()).isEqualTo(configVersion);
			assertReadsAreAnswered(this.first);
			Answer refused = answer(action(this.first, "restarted"));
			assertAtMostOnce("restarted", refused);
			this.cluster.platformFaults(Map.of("down", false));
			this.cluster.awaitReady(this.first);
			Conditions.await("the action to run after the outage",
					() -> answer(action(this.first, "restarted")).status() == 200);
			assertThat(this.cluster.executionsOfKey("restarted")).isEqualTo(1);
		}

		private long configVersion() throws Exception {
			return this.cluster.get(this.first.adminUrl() + "/v1/config").path("version").asLong();
		}

	}

}
