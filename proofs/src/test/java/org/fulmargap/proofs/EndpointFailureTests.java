package org.fulmargap.proofs;

import java.util.Map;

import org.fulmargap.standin.Conditions;
import org.fulmargap.standin.EntryVm;
import org.fulmargap.standin.LoopbackClient.Answer;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Endpoints fail in ways that look like success.
 */
class EndpointFailureTests {

	@Nested
	class Silent extends Proof {

		/**
		 * Guards against requests that wait on a dead connection until their deadline.
		 */
		@Test
		void connectionsAreReplacedAndReadsAnswered() throws Exception {
			assertReadsAreAnswered(this.first, this.second, this.third);
			Answer before = answer(action(this.first, "before-silence"));
			assertThat(before.status()).isEqualTo(200);
			for (String service : new String[] { "encoder", "retriever", "reranker", "generator", "labels" }) {
				serviceFaults(service, Map.of("silence_open_connections", true));
			}
			assertReadsAreAnswered(this.first, this.second, this.third);
			Answer silent = answer(action(this.first, "silent"));
			assertAtMostOnce("silent", silent, answer(action(this.second, "silent")));
		}

	}

	@Nested
	class Crossed extends Proof {

		/** Guards against the answer to another request (P1, P4). */
		@Test
		void answersAreDroppedAndReadsRepeated() throws Exception {
			// One of three endpoints; if all cross their answers, three attempts are not
			// enough.
			this.cluster.endpointFaults("retriever-bog-norte", Map.of("cross_answer", true));
			assertReadsAreAnswered(this.first, this.second, this.third);
			int dropped = 0;
			for (EntryVm vm : this.cluster.vms()) {
				dropped += events(vm, "CROSSED_ANSWER");
			}
			assertThat(dropped).isPositive();
		}

		/**
		 * Guards against delivering a crossed answer when no other endpoint is left (P1,
		 * P4).
		 */
		@Test
		void answersOfAllEndpointsFailTheReadWithType() throws Exception {
			serviceFaults("retriever", Map.of("cross_answer", true));
			for (EntryVm vm : this.cluster.vms()) {
				assertThat(read(vm).errorType()).isEqualTo("STAGE_FAILED");
			}
		}

		/**
		 * Guards against taking a crossed answer for the action's, and against a retry.
		 */
		@Test
		void answerToAnActionLeavesTheOutcomeUnknown() throws Exception {
			serviceFaults("labels", Map.of("cross_answer", true));
			Answer crossed = answer(action(this.first, "crossed"));
			assertThat(crossed.errorType()).isEqualTo("OUTCOME_UNKNOWN");
			serviceFaults("labels", Map.of("reset", true));
			assertAtMostOnce("crossed", crossed, answer(action(this.second, "crossed")));
		}

		/**
		 * Guards against an answer that the next request on the connection takes for its
		 * own.
		 */
		@Test
		void duplicatedAnswersReachNobodyElse() throws Exception {
			serviceFaults("encoder", Map.of("duplicate_answer", true, "limit", 3));
			for (int round = 0; round < 5; round++) {
				assertReadsAreAnswered(this.first, this.second, this.third);
			}
		}

	}

	@Nested
	class Crashed extends Proof {

		private static final String POISON = "poison";

		/** Guards against a request that crashes one endpoint after the other. */
		@Test
		void byOneRequestThatIsResentCostsTwoEndpointsAtMost() throws Exception {
			serviceFaults("encoder", Map.of("crash_marker", POISON, "crash_down_ms", 300));
			Answer last = null;
			for (int round = 0; round < 3; round++) {
				for (EntryVm vm : this.cluster.vms()) {
					last = answer(this.cluster.request(vm, READ, null, POISON));
					assertThat(last.status()).isNotEqualTo(200);
				}
			}
			assertThat(last.errorType()).isEqualTo("REQUEST_QUARANTINED");
			assertThat(crashes("encoder")).isLessThanOrEqualTo(2);
			Conditions.await("reads after the crashes", () -> read(this.first).status() == 200
					&& read(this.second).status() == 200 && read(this.third).status() == 200);
		}

	}

}
