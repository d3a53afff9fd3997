package org.fulmargap.entry;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

import org.fulmargap.platform.standin.CallerWire;
import org.fulmargap.platform.standin.EndpointStandIn;
import org.fulmargap.platform.standin.RawEndpointStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that a VM has read and that get no answer when it stops.
 */
class DrainTests {

	/** The platform kills the VMs of these tests so long after the drain has begun. */
	private static final long GRACE_MS = 4_000;

	/** The slots of the endpoint that queues, as in its record. */
	private static final int SLOTS = 8;

	/** Two runs that follow each other don't fit into the drain. */
	private static final long WORK_MS = 1_500;

	private static final int REFUSED = 503;

	private static final int OUTCOME_UNKNOWN = 502;

	private Installation installation;

	private EntryVm vm;

	private int attempts;

	@BeforeEach
	void start() throws Exception {
		this.installation = new Installation();
		this.installation.graceMs(GRACE_MS);
		// Callers and objectives allow more time than the drain.
		this.installation.store()
			.put(CallerWire.OPERATOR_TOPIC, "config",
					CallerWire.CONFIG.formatted(2)
						.replaceAll("\"timeout-ms\":\\d+", "\"timeout-ms\":20000")
						.replaceAll("\"goal-ms\":\\d+", "\"goal-ms\":15000")
						.replace("\"batch\":20,\"call-ms\":50", "\"batch\":5,\"call-ms\":400"));
	}

	@AfterEach
	void stop() {
		this.installation.close();
	}

	private void startVm() throws Exception {
		this.vm = this.installation.vm("vm-0");
		this.installation.awaitReady();
	}

	private CompletableFuture<HttpResponse<String>> push() {
		return this.installation
			.sendAsync(this.installation.request(0, "/push/x").header(CallerWire.ATTEMPT_ID, newAttempt()));
	}

	private String newAttempt() {
		this.attempts++;
		return "push" + this.attempts;
	}

	private List<CompletableFuture<HttpResponse<String>>> pushes(int count) {
		List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			responses.add(push());
		}
		return responses;
	}

	// Ends the process as the platform sees it: without an answer, callers get an error.
	private void drainAndEnd() {
		try {
			this.vm.drain();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		this.vm.close();
	}

	private static void pause(long durationMs) {
		try {
			Thread.sleep(durationMs);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static List<Integer> statuses(List<CompletableFuture<HttpResponse<String>>> responses)
			throws InterruptedException {
		List<Integer> statuses = new ArrayList<>();
		for (CompletableFuture<HttpResponse<String>> response : responses) {
			try {
				statuses.add(response.get().statusCode());
			}
			catch (ExecutionException ex) {
				throw new AssertionError("a request got no answer: " + statuses, ex);
			}
		}
		return statuses;
	}

	@Nested
	class WaitingRequests {

		@Test
		void requestsThatWaitForAStageAreRefusedBeforeTheVmEnds() throws Exception {
			EndpointStandIn engine = DrainTests.this.installation.endpoint("pool-1", "pool");
			DrainTests.this.installation.endpoint("stage-1", "stage").workMs(400);
			startVm();
			List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
			for (int i = 0; i < 16; i++) {
				responses.add(DrainTests.this.installation.sendAsync(DrainTests.this.installation.pipeline(0)));
			}
			Thread.sleep(500);
			long drainedAtMs = System.currentTimeMillis();
			drainAndEnd();
			assertThat(System.currentTimeMillis() - drainedAtMs).isLessThan(GRACE_MS);
			List<Integer> statuses = statuses(responses);
			assertThat(statuses).containsOnly(200, REFUSED);
			assertThat(statuses.stream().filter((status) -> status == 200).count()).isEqualTo(engine.runs());
		}

	}

	@Nested
	class Actions {

		@Test
		void anActionThatCannotEndBeforeTheVmIsNotPassedOn() throws Exception {
			AtomicInteger runs = new AtomicInteger();
			try (RawEndpointStandIn core = new RawEndpointStandIn(queueing(runs))) {
				DrainTests.this.installation.store().put(CallerWire.ENDPOINT_TOPIC, "raw-1", core.record("core"));
				startVm();
				List<CompletableFuture<HttpResponse<String>>> responses = pushes(1);
				statuses(responses);
				Thread drain = new Thread(DrainTests.this::drainAndEnd);
				drain.start();
				Thread.sleep(1_000);
				// Half of these have to wait for the runs of the others.
				responses.addAll(pushes(2 * SLOTS));
				drain.join();
				List<Integer> statuses = statuses(responses);
				assertThat(statuses).containsOnly(200, REFUSED);
				assertThat(statuses.stream().filter((status) -> status == 200).count()).isEqualTo(runs.get())
					.isGreaterThan(1);
			}
		}

		private static RawEndpointStandIn.Handler queueing(AtomicInteger runs) {
			Semaphore slots = new Semaphore(SLOTS);
			return (socket, request) -> {
				slots.acquireUninterruptibly();
				try {
					runs.incrementAndGet();
					pause(WORK_MS);
					return RawEndpointStandIn.answer(socket, request);
				}
				finally {
					slots.release();
				}
			};
		}

		@Test
		void anActionThatRunsWhenTheVmEndsGetsAnAnswer() throws Exception {
			DrainTests.this.installation.endpoint("core-1", "core").workMs(6_000);
			startVm();
			List<CompletableFuture<HttpResponse<String>>> responses = pushes(3);
			Thread.sleep(200);
			drainAndEnd();
			assertThat(statuses(responses)).containsOnly(OUTCOME_UNKNOWN);
		}

	}

}
