package org.fulmargap.proofs;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.fulmargap.standin.Conditions;
import org.fulmargap.standin.LoopbackClient.Answer;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * An entry VM is killed, paused or asked to end.
 */
class EntryVmFailureTests {

	@Nested
	class Killed extends Proof {

		/** Guards against a second run by the VM that gets the resend. */
		@Test
		void afterDispatchLeavesTheOutcomeUnknownAndOneExecution() throws Exception {
			serviceFaults("labels", Map.of("hold", true));
			CompletableFuture<Answer> lost = action(this.first, "killed-after");
			awaitExecution("killed-after");
			this.first.kill();
			Answer resent = answer(action(this.second, "killed-after"));
			serviceFaults("labels", Map.of("hold", false));
			assertThat(resent.errorType()).isEqualTo("OUTCOME_UNKNOWN");
			assertAtMostOnce("killed-after", answerOrLost(lost), resent, answer(action(this.third, "killed-after")));
		}

		/** Guards against a key that nobody ran and nobody may run any more. */
		@Test
		void beforeItsClaimReachedTheLogLeavesTheKeyFree() throws Exception {
			this.cluster.platformFaults(Map.of("hang", true));
			CompletableFuture<Answer> lost = action(this.first, "killed-before");
			awaitEvents(this.first, "REQUEST_ACCEPTED", 1);
			this.first.kill();
			this.cluster.platformFaults(Map.of("hang", false));
			this.cluster.awaitReady(this.second);
			Answer[] resent = new Answer[1];
			Conditions.await("the action to run elsewhere", () -> {
				resent[0] = answer(action(this.second, "killed-before"));
				return resent[0].status() == 200;
			});
			assertAtMostOnce("killed-before", answerOrLost(lost), resent[0],
					answer(action(this.third, "killed-before")));
			assertReadsAreAnswered(this.second, this.third);
		}

	}

	@Nested
	class Frozen extends Proof {

		private static final long FROZEN_NS = TimeUnit.MILLISECONDS.toNanos(3_500);

		/** Guards against a takeover of the claim of a VM that is only paused. */
		@Test
		void afterDispatchRunsTheActionOnce() throws Exception {
			serviceFaults("labels", Map.of("hold", true));
			CompletableFuture<Answer> paused = action(this.first, "frozen-after");
			awaitExecution("frozen-after");
			Answer resent = resendWhileFrozen("frozen-after", paused);
			serviceFaults("labels", Map.of("hold", false));
			assertAtMostOnce("frozen-after", answerOrLost(paused), resent, answer(action(this.third, "frozen-after")));
		}

		/**
		 * Guards against a dispatch after the pause when the resend has run meanwhile.
		 */
		@Test
		void whileItsClaimIsBeingAppendedRunsTheActionAtMostOnce() throws Exception {
			this.cluster.platformFaults(Map.of("slow_ms", 1_000));
			CompletableFuture<Answer> paused = action(this.first, "frozen-before");
			awaitEvents(this.first, "REQUEST_ACCEPTED", 1);
			Answer resent = resendWhileFrozen("frozen-before", paused);
			this.cluster.platformFaults(Map.of("slow_ms", 0));
			assertAtMostOnce("frozen-before", answerOrLost(paused), resent);
		}

		private Answer resendWhileFrozen(String key, CompletableFuture<Answer> paused) throws Exception {
			long startNs = System.nanoTime();
			this.first.pause();
			try {
				Answer resent = answer(action(this.second, key));
				Conditions.await("a pause of more than 3 s", () -> System.nanoTime() - startNs > FROZEN_NS);
				assertThat(paused).isNotDone();
				return resent;
			}
			finally {
				this.first.resume();
			}
		}

	}

	@Nested
	class Terminated extends Proof {

		/** Guards against a shutdown that cuts running requests (P8). */
		@Test
		void answersEveryRequestThatIsInFlight() throws Exception {
			serviceFaults("generator", Map.of("hold", true));
			serviceFaults("labels", Map.of("hold", true));
			List<CompletableFuture<Answer>> requests = new ArrayList<>();
			for (int number = 0; number < 6; number++) {
				requests.add(this.cluster.request(this.first, READ, null, "terminated " + number));
			}
			requests.add(action(this.first, "terminated"));
			awaitExecution("terminated");
			Conditions.await("all reads to generate", () -> executionsOf("generate") == 6);
			this.first.terminate();
			awaitEvents(this.first, "DRAINING", 1);
			serviceFaults("generator", Map.of("hold", false));
			serviceFaults("labels", Map.of("hold", false));
			assertThat(statuses(requests)).containsExactly(200);
			assertThat(this.first.awaitEnd(60_000)).isTrue();
			assertAtMostOnce("terminated", answer(requests.get(6)), answer(action(this.second, "terminated")));
			assertReadsAreAnswered(this.second, this.third);
		}

		private int executionsOf(String kind) throws Exception {
			int count = 0;
			for (String name : this.cluster.endpointNames()) {
				count += this.cluster.executions(name).path("kinds").path(kind).asInt();
			}
			return count;
		}

	}

}
