package org.fulmargap.proofs;

import java.util.Map;

import org.fulmargap.standin.Conditions;
import org.fulmargap.standin.EntryVm;
import org.fulmargap.standin.LoopbackClient.Answer;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Endpoint failures other than a refused connection or an error status: silent
 * connections, crossed answers, which carry the id of another attempt, duplicated
 * answers, and crashes caused by a request.
 */
class EndpointFailureTests {

	@Nested
	class Silent extends Proof {

		/**
		 * Guards against requests that wait until their deadline on a connection that is
		 * open but transfers no data any more.
		 */
		@Test
		void connectionsAreReplacedAndReadsAnswered() throws Exception {
			assertReadsAreAnswered(this.first, this.second, this.third);
			Answer beforeSilence = answer(action(this.first, "before-silence"));
			assertThat(beforeSilence.status()).isEqualTo(200);
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

		/** Guards against delivering the answer to another request (P1, P4). */
		@Test
		void answersAreDiscardedAndReadsAreRetried() throws Exception {
			// Only one of the three endpoints sends crossed answers. If all did, all
			// attempts of the stage would fail.
			this.cluster.endpointFaults("retriever-bog-norte", Map.of("cross_answer", true));
			assertReadsAreAnswered(this.first, this.second, this.third);
			int discarded = 0;
			for (EntryVm vm : this.cluster.vms()) {
				discarded += countEvents(vm, "CROSSED_ANSWER");
			}
			assertThat(discarded).isPositive();
		}

		/**
		 * Guards against delivering a crossed answer when all endpoints of the service
		 * send crossed answers (P1, P4).
		 */
		@Test
		void readsFailWithTypeIfAllEndpointsSendCrossedAnswers() throws Exception {
			serviceFaults("retriever", Map.of("cross_answer", true));
			for (EntryVm vm : this.cluster.vms()) {
				assertThat(read(vm).errorType()).isEqualTo("STAGE_FAILED");
			}
		}

		/**
		 * Guards against accepting a crossed answer as the result of the action, and
		 * against a retry of the action.
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
		 * Guards against a duplicated answer that is accepted as the answer to the next
		 * request on the connection.
		 */
		@Test
		void duplicatedAnswersAreNotDeliveredToOtherRequests() throws Exception {
			serviceFaults("encoder", Map.of("duplicate_answer", true, "limit", 3));
			for (int round = 0; round < 5; round++) {
				assertReadsAreAnswered(this.first, this.second, this.third);
			}
		}

	}

	@Nested
	class Crashed extends Proof {

		private static final String CRASH_MARKER = "poison";

		/** Guards against a request that crashes one endpoint after another. */
		@Test
		void atMostTwoEndpointsByOneResentRequest() throws Exception {
			serviceFaults("encoder", Map.of("crash_marker", CRASH_MARKER, "crash_down_ms", 300));
			Answer last = null;
			for (int round = 0; round < 3; round++) {
				for (EntryVm vm : this.cluster.vms()) {
					last = answer(this.cluster.request(vm, READ_PIPELINE, null, CRASH_MARKER));
					assertThat(last.status()).isNotEqualTo(200);
				}
			}
			assertThat(last.errorType()).isEqualTo("REQUEST_QUARANTINED");
			assertThat(countCrashes("encoder")).isLessThanOrEqualTo(2);
			Conditions.await("reads to be answered after the crashes", () -> read(this.first).status() == 200
					&& read(this.second).status() == 200 && read(this.third).status() == 200);
		}

	}

}
