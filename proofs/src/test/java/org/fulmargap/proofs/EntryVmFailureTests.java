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
 * Failures of an entry VM process: it is killed (SIGKILL), paused (SIGSTOP) or terminated
 * (SIGTERM).
 */
class EntryVmFailureTests {

	@Nested
	class Killed extends Proof {

		/** Guards against a second execution by the VM that receives the resend. */
		@Test
		void afterDispatchLeavesTheOutcomeUnknownAndOneExecution() throws Exception {
			serviceFaults("labels", Map.of("hold", true));
			CompletableFuture<Answer> original = action(this.first, "killed-after");
			awaitExecution("killed-after");
			this.first.kill();
			Answer resent = answer(action(this.second, "killed-after"));
			serviceFaults("labels", Map.of("hold", false));
			assertThat(resent.errorType()).isEqualTo("OUTCOME_UNKNOWN");
			assertAtMostOnce("killed-after", answerOrNull(original), resent,
					answer(action(this.third, "killed-after")));
		}

		/**
		 * Guards against an idempotency key that was never executed and can no longer be
		 * executed by any VM.
		 */
		@Test
		void beforeItsClaimReachedTheLogLeavesTheKeyFree() throws Exception {
			this.cluster.platformFaults(Map.of("hang", true));
			CompletableFuture<Answer> original = action(this.first, "killed-before");
			awaitEvents(this.first, "REQUEST_ACCEPTED", 1);
			this.first.kill();
			this.cluster.platformFaults(Map.of("hang", false));
			this.cluster.awaitReady(this.second);
			Answer[] resent = new Answer[1];
			Conditions.await("the action to run on another entry VM", () -> {
				resent[0] = answer(action(this.second, "killed-before"));
				return resent[0].status() == 200;
			});
			assertAtMostOnce("killed-before", answerOrNull(original), resent[0],
					answer(action(this.third, "killed-before")));
			assertReadsAreAnswered(this.second, this.third);
		}

	}

	@Nested
	class Frozen extends Proof {

		private static final long PAUSE_NS = TimeUnit.MILLISECONDS.toNanos(3_500);

		/** Guards against another VM taking over the claim of a paused VM. */
		@Test
		void afterDispatchRunsTheActionOnce() throws Exception {
			serviceFaults("labels", Map.of("hold", true));
			CompletableFuture<Answer> original = action(this.first, "frozen-after");
			awaitExecution("frozen-after");
			Answer resent = resendDuringPause("frozen-after", original);
			serviceFaults("labels", Map.of("hold", false));
			assertAtMostOnce("frozen-after", answerOrNull(original), resent,
					answer(action(this.third, "frozen-after")));
		}

		/**
		 * Guards against a dispatch after the pause if the resend was executed during the
		 * pause.
		 */
		@Test
		void whileItsClaimIsBeingAppendedRunsTheActionAtMostOnce() throws Exception {
			this.cluster.platformFaults(Map.of("slow_ms", 1_000));
			CompletableFuture<Answer> original = action(this.first, "frozen-before");
			awaitEvents(this.first, "REQUEST_ACCEPTED", 1);
			Answer resent = resendDuringPause("frozen-before", original);
			this.cluster.platformFaults(Map.of("slow_ms", 0));
			assertAtMostOnce("frozen-before", answerOrNull(original), resent);
		}

		private Answer resendDuringPause(String key, CompletableFuture<Answer> original) throws Exception {
			long startNs = System.nanoTime();
			this.first.pause();
			try {
				Answer resent = answer(action(this.second, key));
				Conditions.await("a pause of more than 3 s", () -> System.nanoTime() - startNs > PAUSE_NS);
				assertThat(original).isNotDone();
				return resent;
			}
			finally {
				this.first.resume();
			}
		}

	}

	@Nested
	class Terminated extends Proof {

		/** Guards against a shutdown that interrupts running requests (P8). */
		@Test
		void answersAllRequestsInFlight() throws Exception {
			serviceFaults("generator", Map.of("hold", true));
			serviceFaults("labels", Map.of("hold", true));
			List<CompletableFuture<Answer>> requests = new ArrayList<>();
			for (int i = 0; i < 6; i++) {
				requests.add(this.cluster.request(this.first, READ_PIPELINE, null, "terminated " + i));
			}
			requests.add(action(this.first, "terminated"));
			awaitExecution("terminated");
			Conditions.await("all reads to reach the generate stage", () -> countExecutions("generate") == 6);
			this.first.terminate();
			awaitEvents(this.first, "DRAINING", 1);
			serviceFaults("generator", Map.of("hold", false));
			serviceFaults("labels", Map.of("hold", false));
			assertThat(statuses(requests)).containsExactly(200);
			assertThat(this.first.awaitEnd(60_000)).isTrue();
			assertAtMostOnce("terminated", answer(requests.get(6)), answer(action(this.second, "terminated")));
			assertReadsAreAnswered(this.second, this.third);
		}

		private int countExecutions(String kind) throws Exception {
			int count = 0;
			for (String name : this.cluster.endpointNames()) {
				count += this.cluster.executions(name).path("kinds").path(kind).asInt();
			}
			return count;
		}

	}

}
