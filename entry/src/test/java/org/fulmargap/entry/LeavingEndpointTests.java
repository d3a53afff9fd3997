package org.fulmargap.entry;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;

import org.fulmargap.platform.standin.CallerWire;
import org.fulmargap.platform.standin.EndpointStandIn;
import org.fulmargap.platform.standin.StoreStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of entry VMs with endpoints that say in their answers that they are leaving, but
 * whose records still list them. New work that is sent there is lost when they end.
 */
class LeavingEndpointTests {

	private static final int REQUESTS = 30;

	/** Longer than records and heartbeats take to arrive. */
	private static final long SETTLE_MS = 1_200;

	/** Half of the time of a request, which would wait for most of it. */
	private static final long AT_ONCE_MS = 2_500;

	private Installation installation;

	@BeforeEach
	void start() throws IOException {
		this.installation = new Installation();
	}

	@AfterEach
	void stop() {
		this.installation.close();
	}

	private void startVms(int count) throws IOException, InterruptedException {
		for (int i = 0; i < count; i++) {
			this.installation.vm("vm-" + i);
		}
		this.installation.awaitReady();
	}

	private int status(String path) throws IOException, InterruptedException {
		return this.installation.send(this.installation.attempt(0, path)).statusCode();
	}

	private void sendUntilArrived(EndpointStandIn endpoint, String path) throws IOException, InterruptedException {
		for (int i = 0; endpoint.arrivals() == 0; i++) {
			assertThat(i).as("requests without one at the endpoint").isLessThan(200);
			status(path);
		}
	}

	// Requests that are not idempotent have no response timeout, so that a slow machine
	// makes none of them fail.
	private void assertNothingArrives(EndpointStandIn endpoint, String path) throws IOException, InterruptedException {
		int arrivals = endpoint.arrivals();
		for (int i = 0; i < REQUESTS; i++) {
			assertThat(status(path)).isEqualTo(200);
		}
		assertThat(endpoint.arrivals()).isEqualTo(arrivals);
	}

	private void put(EndpointStandIn endpoint, String id, String record) {
		this.installation.store().put(CallerWire.ENDPOINT_TOPIC, id, record);
	}

	@Nested
	class Answers {

		private EndpointStandIn leaving;

		private void startWith(EndpointStandIn.Fault fault) throws Exception {
			this.leaving = LeavingEndpointTests.this.installation.endpoint("core-1", "core");
			this.leaving.leaving(true);
			this.leaving.fault(fault);
			LeavingEndpointTests.this.installation.endpoint("core-2", "core");
			startVms(1);
			sendUntilArrived(this.leaving, "/read/x");
		}

		@Test
		void aSuccessEndsNewWork() throws Exception {
			startWith(EndpointStandIn.Fault.NONE);
			assertNothingArrives(this.leaving, "/push/x");
		}

		@Test
		void aRefusalEndsNewWork() throws Exception {
			startWith(EndpointStandIn.Fault.REFUSE);
			assertNothingArrives(this.leaving, "/push/x");
		}

		@Test
		void anErrorEndsNewWork() throws Exception {
			startWith(EndpointStandIn.Fault.ERROR);
			assertNothingArrives(this.leaving, "/push/x");
		}

		@Test
		void anAnswerToAnotherRequestEndsNewWork() throws Exception {
			startWith(EndpointStandIn.Fault.CROSS_ANSWER);
			assertNothingArrives(this.leaving, "/push/x");
		}

	}

	@Nested
	class Streams {

		// The head of the answer is known while the stream goes on. The prompt of the
		// second stream is cached at the leaving engine only.
		@Test
		void theHeadOfAStreamEndsNewWorkAndTheStreamGoesOn() throws Exception {
			EndpointStandIn leaving = LeavingEndpointTests.this.installation.endpoint("pool-1", "pool");
			LeavingEndpointTests.this.installation.endpoint("stage-1", "stage");
			leaving.leaving(true);
			leaving.workMs(150);
			startVms(1);
			CompletableFuture<HttpResponse<String>> first = LeavingEndpointTests.this.installation
				.sendAsync(LeavingEndpointTests.this.installation.pipeline(0));
			Installation.await(() -> leaving.runs() == 1);
			EndpointStandIn other = LeavingEndpointTests.this.installation.endpoint("pool-2", "pool");
			Thread.sleep(SETTLE_MS / 2);
			for (int i = 0; i < 3; i++) {
				HttpResponse<String> next = LeavingEndpointTests.this.installation
					.send(LeavingEndpointTests.this.installation.pipeline(0));
				assertThat(next.statusCode()).isEqualTo(200);
			}
			assertThat(first.get().body()).contains("token4");
			assertThat(leaving.arrivals()).isEqualTo(1);
			assertThat(other.runs()).isEqualTo(3);
		}

		@Test
		void aStreamThatBreaksIsNotResumedAtALeavingEngine() throws Exception {
			EndpointStandIn breaking = LeavingEndpointTests.this.installation.endpoint("pool-1", "pool");
			EndpointStandIn leaving = LeavingEndpointTests.this.installation.endpoint("pool-2", "pool");
			LeavingEndpointTests.this.installation.endpoint("stage-1", "stage");
			breaking.fault(EndpointStandIn.Fault.BREAK_STREAM);
			leaving.leaving(true);
			leaving.fault(EndpointStandIn.Fault.REFUSE);
			startVms(1);
			for (int i = 0; i < 20 && leaving.arrivals() == 0; i++) {
				sendQuietly();
			}
			assertThat(leaving.arrivals()).isEqualTo(1);
			for (int i = 0; i < 5; i++) {
				sendQuietly();
			}
			assertThat(leaving.arrivals()).isEqualTo(1);
		}

		private void sendQuietly() throws InterruptedException {
			try {
				LeavingEndpointTests.this.installation.send(LeavingEndpointTests.this.installation.pipeline(0));
			}
			catch (IOException ex) {
				// The stream breaks and can't be resumed.
			}
		}

	}

	@Nested
	class StageCalls {

		@Test
		void anAnswerToAStageCallEndsNewCalls() throws Exception {
			EndpointStandIn leaving = LeavingEndpointTests.this.installation.endpoint("stage-1", "stage");
			LeavingEndpointTests.this.installation.endpoint("stage-2", "stage");
			LeavingEndpointTests.this.installation.endpoint("pool-1", "pool");
			leaving.leaving(true);
			startVms(2);
			for (int i = 0; i < 10; i++) {
				assertThat(LeavingEndpointTests.this.installation
					.send(LeavingEndpointTests.this.installation.pipeline(i % 2))
					.statusCode()).isEqualTo(200);
			}
			assertThat(leaving.itemsByCall()).hasSizeLessThanOrEqualTo(1);
		}

		@Test
		void aRequestIsRefusedAtOnceWhenAllEndpointsOfAStageLeave() throws Exception {
			EndpointStandIn leaving = LeavingEndpointTests.this.installation.endpoint("stage-1", "stage");
			LeavingEndpointTests.this.installation.endpoint("pool-1", "pool");
			leaving.leaving(true);
			startVms(1);
			for (int i = 0; i < 3; i++) {
				long sentAtMs = System.currentTimeMillis();
				assertThat(
						LeavingEndpointTests.this.installation.send(LeavingEndpointTests.this.installation.pipeline(0))
							.statusCode())
					.isEqualTo(503);
				assertThat(System.currentTimeMillis() - sentAtMs).isLessThan(AT_ONCE_MS);
			}
			assertThat(leaving.itemsByCall()).hasSize(1);
		}

	}

	@Nested
	class Records {

		private EndpointStandIn leaving;

		private EndpointStandIn other;

		@BeforeEach
		void hearTheAnnouncement() throws Exception {
			this.leaving = LeavingEndpointTests.this.installation.endpoint("core-1", "core");
			this.other = LeavingEndpointTests.this.installation.endpoint("core-2", "core");
			this.leaving.leaving(true);
			startVms(1);
			sendUntilArrived(this.leaving, "/read/x");
		}

		@Test
		void laterRecordsAndARemovalDoNotTakeItBack() throws Exception {
			String ready = this.leaving.record("core", "a", "ready");
			put(this.leaving, "core-1", ready);
			Thread.sleep(SETTLE_MS);
			assertNothingArrives(this.leaving, "/push/x");
			put(this.leaving, "core-1", "");
			Thread.sleep(SETTLE_MS);
			put(this.leaving, "core-1", ready);
			Thread.sleep(SETTLE_MS);
			assertNothingArrives(this.leaving, "/push/x");
		}

		@Test
		void aNewProcessOfTheSameNameStartsClean() throws Exception {
			this.leaving.leaving(false);
			int arrivals = this.leaving.arrivals();
			put(this.leaving, "core-1",
					this.leaving.record("core", "a", "ready", EndpointStandIn.STARTED_AT_MS + 60_000));
			Thread.sleep(SETTLE_MS);
			for (int i = 0; i < REQUESTS && this.leaving.arrivals() == arrivals; i++) {
				// Makes the other endpoint look slow.
				this.other.workMs(100);
				assertThat(status("/read/x")).isEqualTo(200);
			}
			assertThat(this.leaving.arrivals()).isGreaterThan(arrivals);
		}

		@Test
		void theLossOfTheStoreDoesNotTakeItBack() throws Exception {
			LeavingEndpointTests.this.installation.store().fault(StoreStandIn.Fault.DOWN);
			Thread.sleep(SETTLE_MS);
			assertNothingArrives(this.leaving, "/push/x");
		}

		@Test
		void requestsAreRefusedAtOnceWhenAllEndpointsLeave() throws Exception {
			this.other.leaving(true);
			sendUntilArrived(this.other, "/read/x");
			int arrivals = this.leaving.arrivals() + this.other.arrivals();
			HttpResponse<String> refused = LeavingEndpointTests.this.installation
				.send(LeavingEndpointTests.this.installation.attempt(0, "/read/x"));
			assertThat(refused.statusCode()).isEqualTo(503);
			assertThat(refused.headers().firstValue("Retry-After")).isPresent();
			assertThat(this.leaving.arrivals() + this.other.arrivals()).isEqualTo(arrivals);
		}

	}

	@Nested
	class Peers {

		private static final int MANY_VMS = 14;

		private EndpointStandIn leaving;

		private void hearAt(int vm) throws Exception {
			this.leaving = LeavingEndpointTests.this.installation.endpoint("core-1", "core");
			this.leaving.leaving(true);
			startVms(vm + 1);
			assertThat(statusAt(vm)).isEqualTo(200);
			Thread.sleep(SETTLE_MS);
		}

		private int statusAt(int vm) throws Exception {
			return LeavingEndpointTests.this.installation
				.send(LeavingEndpointTests.this.installation.attempt(vm, "/push/x"))
				.statusCode();
		}

		@Test
		void aVmLearnsOfItFromAnother() throws Exception {
			hearAt(1);
			assertThat(statusAt(0)).isEqualTo(503);
			assertThat(this.leaving.arrivals()).isEqualTo(1);
		}

		@Test
		void theLossOfAllPeersDoesNotTakeItBack() throws Exception {
			hearAt(1);
			LeavingEndpointTests.this.installation.vm(1).close();
			Thread.sleep(2 * SETTLE_MS);
			assertThat(statusAt(0)).isEqualTo(503);
			assertThat(this.leaving.arrivals()).isEqualTo(1);
		}

		// From a member to its hub, to the other hubs and to their members.
		@Test
		void allVmsOfAFleetWithHubsLearnOfIt() throws Exception {
			hearAt(MANY_VMS - 1);
			for (int vm = 0; vm < MANY_VMS; vm++) {
				assertThat(statusAt(vm)).as("VM %d", vm).isEqualTo(503);
			}
			assertThat(this.leaving.arrivals()).isEqualTo(1);
		}

	}

}
