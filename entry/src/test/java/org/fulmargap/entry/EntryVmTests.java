package org.fulmargap.entry;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;

import org.fulmargap.platform.standin.CallerWire;
import org.fulmargap.platform.standin.CopyingStageStandIn;
import org.fulmargap.platform.standin.EndpointStandIn;
import org.fulmargap.platform.standin.RawEndpointStandIn;
import org.fulmargap.platform.standin.StoreStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link EntryVm} with stand-ins of the endpoints and the store.
 */
class EntryVmTests {

	private static final String ALL_EVENTS = "id: 0\ndata: token0\n\nid: 1\ndata: token1\n\nid: 2\ndata: token2\n\n"
			+ "id: 3\ndata: token3\n\nid: 4\ndata: token4\n\n";

	/** Longer than the time after which a call is repeated at another endpoint. */
	private static final int SLOW_WORK_MS = 600;

	private Installation installation;

	@BeforeEach
	void start() throws IOException {
		this.installation = new Installation();
	}

	@AfterEach
	void stop() {
		this.installation.close();
	}

	private EndpointStandIn endpoint(String id, String service) throws IOException {
		return this.installation.endpoint(id, service);
	}

	private void startVms(int count) throws IOException, InterruptedException {
		for (int i = 0; i < count; i++) {
			this.installation.vm("vm-" + i);
		}
		this.installation.awaitReady();
	}

	private HttpResponse<String> send(String path) throws IOException, InterruptedException {
		return this.installation.send(this.installation.attempt(0, path));
	}

	@Nested
	class PlainRequests {

		@Test
		void answersOfEndpointsAreForwardedWithTheirSignature() throws Exception {
			EndpointStandIn core = endpoint("core-1", "core");
			startVms(1);
			HttpResponse<String> response = send("/read/x");
			assertThat(response.statusCode()).isEqualTo(200);
			assertThat(response.body()).isEqualTo("done by core-1");
			assertThat(response.headers().firstValue(CallerWire.SIGNATURE)).contains("signature-of-core-1");
			assertThat(core.requests().get(0)).containsEntry(CallerWire.ACCOUNT, "chain")
				.doesNotContainKey("authorization");
		}

		@Test
		void aCallToTheOnlyEndpointIsNotGivenUpBeforeItsTimeout() throws Exception {
			endpoint("core-1", "core").workMs(SLOW_WORK_MS);
			startVms(1);
			assertThat(send("/read/x").statusCode()).isEqualTo(200);
		}

		@Test
		void anIdempotentRequestIsRetriedAtAnotherEndpointWhenItsAnswerIsLost() throws Exception {
			endpoint("core-1", "core").fault(EndpointStandIn.Fault.LOSE_ANSWER);
			EndpointStandIn good = endpoint("core-2", "core");
			startVms(1);
			assertThat(send("/read/x").statusCode()).isEqualTo(200);
			assertThat(good.runs()).isEqualTo(1);
		}

		@Test
		void aNonIdempotentRequestWhoseAnswerIsLostRunsOnceAndGetsStatus502() throws Exception {
			EndpointStandIn one = endpoint("core-1", "core");
			EndpointStandIn two = endpoint("core-2", "core");
			one.fault(EndpointStandIn.Fault.LOSE_ANSWER);
			two.fault(EndpointStandIn.Fault.LOSE_ANSWER);
			startVms(1);
			assertThat(send("/push/x").statusCode()).isEqualTo(502);
			assertThat(one.runs() + two.runs()).isEqualTo(1);
		}

		@Test
		void aNonIdempotentRequestIsRetriedWhenItsEndpointHasNotRunIt() throws Exception {
			endpoint("core-1", "core").fault(EndpointStandIn.Fault.REFUSE);
			EndpointStandIn good = endpoint("core-2", "core");
			startVms(1);
			assertThat(send("/push/x").statusCode()).isEqualTo(200);
			assertThat(good.runs()).isEqualTo(1);
		}

		@Test
		void anAnswerToAnotherRequestIsNotForwarded() throws Exception {
			endpoint("core-1", "core").fault(EndpointStandIn.Fault.CROSS_ANSWER);
			startVms(1);
			HttpResponse<String> response = send("/push/x");
			assertThat(response.statusCode()).isIn(502, 504);
			assertThat(response.body()).doesNotContain("done by");
		}

	}

	@Nested
	class WrongAnswers {

		private HttpResponse<String> push(String attemptId) throws Exception {
			return EntryVmTests.this.installation.send(EntryVmTests.this.installation.request(0, "/push/x")
				.header(CallerWire.ATTEMPT_ID, attemptId)
				.header(CallerWire.TIME_LEFT_MS, "5000"));
		}

		private void start(RawEndpointStandIn endpoint) throws Exception {
			EntryVmTests.this.installation.store().put(CallerWire.ENDPOINT_TOPIC, "raw-1", endpoint.record("core"));
			startVms(1);
		}

		@Test
		void aSecondAnswerIsDiscarded() throws Exception {
			try (RawEndpointStandIn endpoint = new RawEndpointStandIn(RawEndpointStandIn.Answer.TWICE)) {
				start(endpoint);
				for (int i = 0; i < 8; i++) {
					assertThat(push("id" + i).body()).isEqualTo(RawEndpointStandIn.body("id" + i));
				}
			}
		}

		@Test
		void aLateSecondAnswerToAStageCallIsDiscarded() throws Exception {
			CopyingStageStandIn stage = new CopyingStageStandIn();
			try (RawEndpointStandIn endpoint = new RawEndpointStandIn(stage)) {
				EntryVmTests.this.installation.store()
					.put(CallerWire.ENDPOINT_TOPIC, "raw-1", endpoint.record("stage"));
				endpoint("pool-1", "pool");
				startVms(1);
				for (int i = 0; i < 6; i++) {
					EntryVmTests.this.installation
						.send(EntryVmTests.this.installation.pipeline(0).setHeader(CallerWire.ITEM_COUNTS, "2,2"));
				}
				assertThat(stage.copies()).isPositive();
				assertThat(stage.foreignInputs()).isZero();
			}
		}

		@Test
		void aSlowStreamThatIsSoundIsNotCut() throws Exception {
			assertThat(streamOf(RawEndpointStandIn.Answer.SLOW_STREAM).body()).isEqualTo(ALL_EVENTS);
		}

		@Test
		void aStalledStreamContinuesAtAnotherEndpoint() throws Exception {
			HttpResponse<String> response = streamOf(RawEndpointStandIn.Answer.STALLED_STREAM);
			assertThat(response.statusCode()).isEqualTo(200);
			assertThat(response.body()).isEqualTo(ALL_EVENTS);
		}

		// The other engine only continues streams, so that the raw one gets the request.
		private HttpResponse<String> streamOf(RawEndpointStandIn.Answer answer) throws Exception {
			try (RawEndpointStandIn engine = new RawEndpointStandIn(answer)) {
				EntryVmTests.this.installation.store().put(CallerWire.ENDPOINT_TOPIC, "raw-1", engine.record("pool"));
				endpoint("stage-1", "stage");
				startVms(1);
				CompletableFuture<HttpResponse<String>> response = EntryVmTests.this.installation
					.sendAsync(EntryVmTests.this.installation.pipeline(0));
				Thread.sleep(700);
				if (answer == RawEndpointStandIn.Answer.STALLED_STREAM) {
					endpoint("pool-1", "pool");
				}
				return response.get();
			}
		}

		@Test
		void anAnswerWithoutLengthEndsWithItsConnection() throws Exception {
			try (RawEndpointStandIn endpoint = new RawEndpointStandIn(RawEndpointStandIn.Answer.WITHOUT_LENGTH)) {
				start(endpoint);
				HttpResponse<String> response = push("id");
				assertThat(response.statusCode()).isEqualTo(200);
				assertThat(response.body()).isEqualTo(RawEndpointStandIn.body("id"));
			}
		}

		@Test
		void anAnswerWithoutLengthWhoseConnectionIsResetIsIncomplete() throws Exception {
			try (RawEndpointStandIn endpoint = new RawEndpointStandIn(RawEndpointStandIn.Answer.RESET_WITHOUT_LENGTH)) {
				start(endpoint);
				assertThat(push("id").statusCode()).isEqualTo(502);
			}
		}

		@Test
		void aTruncatedAnswerIsIncomplete() throws Exception {
			try (RawEndpointStandIn endpoint = new RawEndpointStandIn(RawEndpointStandIn.Answer.TRUNCATED)) {
				start(endpoint);
				assertThat(push("id").statusCode()).isEqualTo(502);
			}
		}

	}

	@Nested
	class Refusals {

		@Test
		void aVmWithoutConfigurationAnswersWithStatus503() throws Exception {
			EntryVmTests.this.installation.store().fault(StoreStandIn.Fault.DOWN);
			EntryVmTests.this.installation.vm("vm-0");
			assertThat(send("/read/x").statusCode()).isEqualTo(503);
		}

		@Test
		void anUnknownRouteAndAnUnknownKeyGetDifferentStatuses() throws Exception {
			endpoint("core-1", "core");
			startVms(1);
			try (LogLines log = new LogLines()) {
				assertThat(send("/none/x?key=1").statusCode()).isEqualTo(404);
				assertThat(log.contain("refused",
						"reason=NO_ROUTE config_version=1 config_age_ms=\\d+ host=\\S+ path=/none/x"))
					.isTrue();
			}
			assertThat(EntryVmTests.this.installation
				.send(EntryVmTests.this.installation.attempt(0, "/read/x").setHeader("Authorization", "Token bad"))
				.statusCode()).isEqualTo(401);
		}

		@Test
		void aServiceWithoutEndpointsRefusesAtOnceWithRetryAfter() throws Exception {
			startVms(1);
			long startedAtMs = System.currentTimeMillis();
			HttpResponse<String> response = send("/push/x");
			assertThat(response.statusCode()).isEqualTo(503);
			assertThat(response.headers().firstValue("Retry-After")).isPresent();
			assertThat(System.currentTimeMillis() - startedAtMs).isLessThan(300);
		}

		@Test
		void aNewConfigurationIsInForceWithinTwoSeconds() throws Exception {
			endpoint("core-1", "core");
			startVms(1);
			assertThat(send("/late/x").statusCode()).isEqualTo(404);
			EntryVmTests.this.installation.store()
				.put(CallerWire.OPERATOR_TOPIC, "config",
						CallerWire.CONFIG.formatted(2).replace("\"/read/\"", "\"/late/\""));
			long startedAtMs = System.currentTimeMillis();
			try (LogLines log = new LogLines()) {
				while (send("/late/x").statusCode() != 200) {
					assertThat(System.currentTimeMillis() - startedAtMs).isLessThan(2_000);
				}
				assertThat(log.contain("dispatched", "service=core .* config_version=2 config_age_ms=\\d+")).isTrue();
			}
		}

	}

	@Nested
	class Streams {

		@Test
		void aPipelineRunsItsStagesAndStreamsAllEvents() throws Exception {
			EndpointStandIn engine = endpoint("pool-1", "pool");
			EndpointStandIn stage = endpoint("stage-1", "stage");
			startVms(1);
			HttpResponse<String> response = EntryVmTests.this.installation
				.send(EntryVmTests.this.installation.pipeline(0));
			assertThat(response.statusCode()).isEqualTo(200);
			assertThat(response.body()).isEqualTo(ALL_EVENTS);
			assertThat(engine.runs()).isEqualTo(1);
			assertThat(stage.itemsByCall()).containsExactly(2, 3);
			Installation.await(() -> stage.heldResults() == 0);
		}

		@Test
		void expiredInputsAreComputedAgain() throws Exception {
			endpoint("pool-1", "pool");
			EndpointStandIn stage = endpoint("stage-1", "stage");
			stage.fault(EndpointStandIn.Fault.EXPIRE_INPUTS);
			startVms(1);
			HttpResponse<String> response = EntryVmTests.this.installation
				.send(EntryVmTests.this.installation.pipeline(0));
			assertThat(response.body()).isEqualTo(ALL_EVENTS);
			assertThat(stage.itemsByCall()).containsExactly(2, 3, 2, 3);
			Installation.await(() -> stage.heldResults() == 0);
		}

		@Test
		void aBrokenStreamIsResumedAtAnotherEndpointWithoutLostOrDuplicateEvents() throws Exception {
			endpoint("pool-1", "pool").fault(EndpointStandIn.Fault.BREAK_STREAM);
			endpoint("pool-2", "pool").fault(EndpointStandIn.Fault.NONE);
			endpoint("stage-1", "stage");
			startVms(1);
			for (int i = 0; i < 4; i++) {
				HttpResponse<String> response = EntryVmTests.this.installation
					.send(EntryVmTests.this.installation.pipeline(0));
				assertThat(response.body()).isEqualTo(ALL_EVENTS);
			}
		}

		@Test
		void aCallerThatDisconnectsCancelsTheCallToItsEndpoint() throws Exception {
			EndpointStandIn engine = endpoint("pool-1", "pool");
			endpoint("stage-1", "stage");
			startVms(1);
			engine.workMs(300);
			CompletableFuture<HttpResponse<String>> disconnected = EntryVmTests.this.installation
				.sendAsync(EntryVmTests.this.installation.pipeline(0));
			Installation.await(() -> engine.runs() == 1);
			disconnected.cancel(true);
			Installation.await(() -> engine.brokenWrites() == 1);
		}

	}

	@Nested
	class SeveralVms {

		@Test
		void itemsOfRequestsAtSeveralVmsShareCalls() throws Exception {
			endpoint("pool-1", "pool");
			EndpointStandIn stage = endpoint("stage-1", "stage");
			stage.workMs(150);
			startVms(3);
			Thread.sleep(1_500);
			List<CompletableFuture<HttpResponse<String>>> responses = sendToAll(3);
			for (CompletableFuture<HttpResponse<String>> response : responses) {
				assertThat(response.get().body()).isEqualTo(ALL_EVENTS);
			}
			assertThat(stage.itemsByCall()).anyMatch((items) -> items > 3);
			assertThat(stage.itemsByCall().size()).isLessThan(2 * responses.size());
		}

		@Test
		void requestsOfAVmThatStopsAreFinished() throws Exception {
			endpoint("pool-1", "pool");
			EndpointStandIn stage = endpoint("stage-1", "stage");
			stage.workMs(400);
			EntryVm first = EntryVmTests.this.installation.vm("vm-0");
			EntryVmTests.this.installation.vm("vm-1");
			EntryVmTests.this.installation.vm("vm-2");
			EntryVmTests.this.installation.awaitReady();
			Thread.sleep(1_500);
			List<CompletableFuture<HttpResponse<String>>> responses = sendToAll(1);
			Installation.await(() -> !stage.itemsByCall().isEmpty());
			first.drain();
			for (CompletableFuture<HttpResponse<String>> response : responses) {
				assertThat(response.get().body()).isEqualTo(ALL_EVENTS);
			}
		}

		private List<CompletableFuture<HttpResponse<String>>> sendToAll(int vms)
				throws InterruptedException, ExecutionException {
			List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
			for (int i = 0; i < 6; i++) {
				responses
					.add(EntryVmTests.this.installation.sendAsync(EntryVmTests.this.installation.pipeline(i % vms)));
			}
			return responses;
		}

	}

	@Nested
	class RelayedRecords {

		@Test
		void aVmThatTheStoreRefusesGetsRecordsFromItsPeers() throws Exception {
			endpoint("core-1", "core");
			EntryVmTests.this.installation.vm("vm-0");
			try (StoreStandIn refusing = new StoreStandIn(); LogLines log = new LogLines()) {
				refusing.fault(StoreStandIn.Fault.BUSY);
				EntryVmTests.this.installation.vm("vm-1", refusing);
				EntryVmTests.this.installation.store()
					.put(CallerWire.MEMBER_TOPIC, "vm-1", EntryVmTests.this.installation.peerAddress(1) + " a 1");
				EntryVmTests.this.installation.awaitReady();
				EntryVmTests.this.installation.store()
					.put(CallerWire.OPERATOR_TOPIC, "config",
							CallerWire.CONFIG.formatted(2).replace("\"good\"", "\"new\""));
				long startedAtMs = System.currentTimeMillis();
				while (EntryVmTests.this.installation.send(EntryVmTests.this.installation.attempt(1, "/read/x"))
					.statusCode() != 401) {
					assertThat(System.currentTimeMillis() - startedAtMs).isLessThan(4_000);
				}
				assertThat(log.contain("config_read", "version=2 .* source=store records=1 read_ms=\\d+ "
						+ "previous_read_age_ms=\\d+ queued_ms=\\d+"))
					.isTrue();
				assertThat(log.contain("config_read",
						"version=2 .* source=vm-0 records=\\d+ read_ms=-1 previous_read_age_ms=-1 queued_ms=\\d+"))
					.isTrue();
			}
		}

		@Test
		void anOutageOfTheStoreIsLoggedWithItsLength() throws Exception {
			try (LogLines log = new LogLines()) {
				startVms(1);
				assertThat(log.contain("store_reached", "topic=OPERATOR .*unread_ms=-1")).isTrue();
				EntryVmTests.this.installation.store().fault(StoreStandIn.Fault.DOWN);
				log.await("store_lost", "topic=OPERATOR .*open_ms=\\d+");
				EntryVmTests.this.installation.store().fault(StoreStandIn.Fault.NONE);
				log.await("store_reached", "topic=OPERATOR .*unread_ms=\\d+");
			}
		}

	}

	@Nested
	class Crashes {

		@Test
		void aRequestThatCrashesEndpointsIsRefusedBeforeAllAreDown() throws Exception {
			List<EndpointStandIn> cores = new ArrayList<>();
			for (int i = 0; i < 6; i++) {
				cores.add(endpoint("core-" + i, "core"));
			}
			startVms(2);
			Thread.sleep(1_000);
			for (int i = 0; i < 8; i++) {
				int status = EntryVmTests.this.installation
					.send(EntryVmTests.this.installation.attempt(i % 2, "/read/" + EndpointStandIn.CRASH_PATH))
					.statusCode();
				assertThat(status).isNotEqualTo(200);
				for (int j = 0; j < 6; j++) {
					// Calls that fail reveal which endpoints are down.
					send("/push/x");
				}
			}
			assertThat(cores.stream().filter(EndpointStandIn::isDown).count()).isLessThanOrEqualTo(4);
			assertThat(send("/read/x").statusCode()).isEqualTo(200);
		}

	}

	@Nested
	class Endpoints {

		@Test
		void aDrainingEndpointGetsNoNewRequestsAfterAShortTime() throws Exception {
			EndpointStandIn leaving = endpoint("core-1", "core");
			endpoint("core-2", "core");
			startVms(1);
			EntryVmTests.this.installation.store()
				.put(CallerWire.ENDPOINT_TOPIC, "core-1", leaving.record("core", "a", "draining"));
			Thread.sleep(1_500);
			int before = leaving.runs();
			for (int i = 0; i < 10; i++) {
				assertThat(send("/read/x").statusCode()).isEqualTo(200);
			}
			assertThat(leaving.runs()).isEqualTo(before);
		}

		@Test
		void anEndpointThatIsRemovedSoonAfterTheStartGetsNoNewRequests() throws Exception {
			EndpointStandIn leaving = endpoint("core-1", "core");
			endpoint("core-2", "core");
			startVms(1);
			EntryVmTests.this.installation.store().put(CallerWire.ENDPOINT_TOPIC, "core-1", "");
			Thread.sleep(1_000);
			int before = leaving.runs();
			for (int i = 0; i < 20; i++) {
				assertThat(send("/read/x").statusCode()).isEqualTo(200);
			}
			assertThat(leaving.runs()).isEqualTo(before);
		}

		@Test
		void anEndpointThatTookTheAddressOfAnotherIsRecognised() throws Exception {
			EndpointStandIn core = endpoint("core-1", "core");
			EntryVmTests.this.installation.store()
				.put(CallerWire.ENDPOINT_TOPIC, "core-0", core.record("core", "a", "ready"));
			startVms(1);
			for (int i = 0; i < 6; i++) {
				assertThat(send("/push/x").statusCode()).isEqualTo(200);
			}
			assertThat(core.mostRunsOfOneAttempt()).isEqualTo(1);
		}

		@Test
		void endpointsThatCannotBeReachedCostNoRetries() throws Exception {
			for (int i = 0; i < 3; i++) {
				endpoint("core-" + i, "core").close();
			}
			endpoint("core-9", "core");
			EntryVmTests.this.installation.withoutRetries();
			startVms(1);
			for (int i = 0; i < 4; i++) {
				assertThat(send("/push/x").statusCode()).isEqualTo(200);
			}
		}

		@Test
		void aCompactedTopicIsListedAgain() throws Exception {
			endpoint("core-1", "core");
			startVms(1);
			EntryVmTests.this.installation.store().fault(StoreStandIn.Fault.DOWN);
			Thread.sleep(300);
			EndpointStandIn added = endpoint("pool-1", "pool");
			endpoint("stage-1", "stage");
			EntryVmTests.this.installation.store().compact(CallerWire.ENDPOINT_TOPIC);
			EntryVmTests.this.installation.store().fault(StoreStandIn.Fault.NONE);
			Installation.await(() -> added.runs() > 0 || pipelineSucceeds());
		}

		@Test
		void anEndpointWhoseRecordExpiredInAnOutageOfTheStoreIsUsedOn() throws Exception {
			EndpointStandIn core = endpoint("core-1", "core");
			startVms(1);
			StoreStandIn store = EntryVmTests.this.installation.store();
			store.fault(StoreStandIn.Fault.SILENT);
			// Longer than a read waits and the next one takes to time out.
			Thread.sleep(5_000);
			store.put(CallerWire.ENDPOINT_TOPIC, "core-1", "");
			store.fault(StoreStandIn.Fault.NONE);
			List<Integer> statuses = new ArrayList<>();
			long returnedAtMs = System.currentTimeMillis();
			boolean back = false;
			while (System.currentTimeMillis() - returnedAtMs < 3_000) {
				if (!back && System.currentTimeMillis() - returnedAtMs > 1_000) {
					back = true;
					store.put(CallerWire.ENDPOINT_TOPIC, "core-1",
							core.record("core", "a", "ready", EndpointStandIn.STARTED_AT_MS, 2));
				}
				statuses.add(send("/push/x").statusCode());
			}
			assertThat(statuses).containsOnly(200);
		}

		private boolean pipelineSucceeds() {
			try {
				return EntryVmTests.this.installation.send(EntryVmTests.this.installation.pipeline(0))
					.statusCode() == 200;
			}
			catch (IOException ex) {
				return false;
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return false;
			}
		}

	}

}
