package org.fulmargap.entry;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.fulmargap.platform.standin.CallerWire;
import org.fulmargap.platform.standin.EndpointStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of entry VMs with endpoints that name in their answers how many requests a second
 * they take from all VMs together.
 */
class LimitedEndpointTests {

	private static final int VMS = 4;

	/** The time after which the VMs must keep to a limit, in ms. */
	private static final long CONTACT_MS = 3_000;

	private static final long WINDOW_MS = 4_000;

	/** A limit at which no test gets a second share in its time. */
	private static final String ALMOST_NONE = "0.1";

	/** The time that a VM has for a limit that it was told, in ms. */
	private static final long TOLD_MS = 500;

	private static final long LOAD_MS = 11_000;

	/** The time between two requests, in ms. */
	private static final long PAUSE_MS = 25;

	private final Map<String, Integer> vmByAttempt = new HashMap<>();

	private final List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();

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

	private List<EndpointStandIn> endpoints(String service, int count) throws IOException {
		List<EndpointStandIn> endpoints = new ArrayList<>();
		for (int i = 1; i <= count; i++) {
			endpoints.add(this.installation.endpoint(service + '-' + i, service));
		}
		return endpoints;
	}

	// Sends plain requests to all VMs in turn.
	private void load(long durationMs) throws InterruptedException {
		long endMs = nowMs() + durationMs;
		for (int i = 0; nowMs() < endMs; i++) {
			int vm = i % VMS;
			var request = this.installation.attempt(vm, "/push/x");
			this.vmByAttempt.put(request.build().headers().firstValue(CallerWire.ATTEMPT_ID).orElseThrow(), vm);
			this.answers.add(this.installation.sendAsync(request));
			Thread.sleep(PAUSE_MS);
		}
		this.answers.forEach(CompletableFuture::join);
	}

	private static long nowMs() {
		return System.nanoTime() / 1_000_000;
	}

	private static double allowed(double perSecond) {
		return 1.5 * perSecond * WINDOW_MS / 1_000 + 5;
	}

	// The most requests in any window that ends when the VMs must keep to the limit, of
	// VMs that were told in time.
	private int mostInWindow(EndpointStandIn endpoint) {
		List<EndpointStandIn.Arrival> arrivals = endpoint.arrivalTimes();
		List<EndpointStandIn.Arrival> namings = endpoint.namings();
		Map<Integer, Long> toldAtMs = new HashMap<>();
		namings.forEach((naming) -> toldAtMs.putIfAbsent(vm(naming), naming.atMs()));
		List<Long> counted = arrivals.stream()
			.filter((arrival) -> toldAtMs.getOrDefault(vm(arrival), Long.MAX_VALUE / 2) <= arrival.atMs() - TOLD_MS)
			.map(EndpointStandIn.Arrival::atMs)
			.toList();
		long boundFromMs = namings.get(0).atMs() + CONTACT_MS;
		int most = 0;
		for (long endMs : counted) {
			if (endMs >= boundFromMs) {
				most = Math.max(most,
						(int) counted.stream().filter((atMs) -> atMs > endMs - WINDOW_MS && atMs <= endMs).count());
			}
		}
		return most;
	}

	private int vm(EndpointStandIn.Arrival arrival) {
		return this.vmByAttempt.getOrDefault(arrival.attemptId(), 0);
	}

	@Nested
	class PlainRequests {

		@Test
		void severalVmsTogetherDoNotExceedTheLimitsThatEndpointsName() throws Exception {
			List<EndpointStandIn> endpoints = endpoints("core", 3);
			endpoints.forEach((endpoint) -> endpoint.limit("1"));
			startVms(VMS);
			load(LOAD_MS);
			for (EndpointStandIn endpoint : endpoints) {
				assertThat((double) mostInWindow(endpoint)).isLessThanOrEqualTo(allowed(1));
			}
		}

		@Test
		void aRetryIsNotSentToAnEndpointWithoutAShareLeft() throws Exception {
			List<EndpointStandIn> endpoints = endpoints("core", 2);
			EndpointStandIn limited = endpoints.get(1);
			limited.limit(ALMOST_NONE);
			startVms(1);
			for (int i = 0; limited.arrivals() == 0; i++) {
				assertThat(i).as("requests without one at the endpoint").isLessThan(200);
				LimitedEndpointTests.this.installation
					.send(LimitedEndpointTests.this.installation.attempt(0, "/push/x"));
			}
			endpoints.get(0).fault(EndpointStandIn.Fault.ERROR);
			for (int i = 0; i < 5; i++) {
				LimitedEndpointTests.this.installation
					.send(LimitedEndpointTests.this.installation.attempt(0, "/read/x"));
			}
			assertThat(limited.arrivals()).isEqualTo(1);
		}

		@Test
		void oneLimitedEndpointOfSeveralDoesNotGetMoreThanItsLimit() throws Exception {
			List<EndpointStandIn> endpoints = endpoints("core", 3);
			endpoints.get(0).limit("1");
			startVms(VMS);
			load(LOAD_MS);
			assertThat((double) mostInWindow(endpoints.get(0))).isLessThanOrEqualTo(allowed(1));
			assertThat(LimitedEndpointTests.this.answers)
				.allSatisfy((answer) -> assertThat(answer.join().statusCode()).isEqualTo(200));
		}

	}

	@Nested
	class Streams {

		@Test
		void aStreamThatBreaksIsNotResumedAtAnEngineWithoutAShareLeft() throws Exception {
			List<EndpointStandIn> engines = endpoints("pool", 2);
			endpoints("stage", 1);
			EndpointStandIn limited = engines.get(1);
			limited.limit(ALMOST_NONE);
			startVms(1);
			for (int i = 0; i < 50 && limited.arrivals() == 0; i++) {
				LimitedEndpointTests.this.answers.add(LimitedEndpointTests.this.installation
					.sendAsync(LimitedEndpointTests.this.installation.pipeline(0)));
				Thread.sleep(PAUSE_MS);
			}
			LimitedEndpointTests.this.answers.forEach(CompletableFuture::join);
			int arrivals = limited.arrivals();
			assertThat(arrivals).isPositive();
			engines.get(0).fault(EndpointStandIn.Fault.BREAK_STREAM);
			for (int i = 0; i < 5; i++) {
				sendQuietly();
			}
			assertThat(engines.get(0).brokenWrites()).isPositive();
			assertThat(limited.arrivals()).isEqualTo(arrivals);
		}

		private void sendQuietly() throws InterruptedException {
			try {
				LimitedEndpointTests.this.installation.send(LimitedEndpointTests.this.installation.pipeline(0));
			}
			catch (IOException ex) {
				// The stream breaks and can't be resumed.
			}
		}

	}

	@Nested
	class StageCalls {

		@Test
		void callsAndReleasesForAllVmsDoNotExceedTheLimitThatAnEndpointNames() throws Exception {
			EndpointStandIn stage = endpoints("stage", 1).get(0);
			endpoints("pool", 1);
			stage.limit("1");
			startVms(2);
			long endMs = nowMs() + LOAD_MS;
			for (int i = 0; nowMs() < endMs; i++) {
				LimitedEndpointTests.this.answers.add(LimitedEndpointTests.this.installation
					.sendAsync(LimitedEndpointTests.this.installation.pipeline(i % 2)));
				Thread.sleep(4 * PAUSE_MS);
			}
			LimitedEndpointTests.this.answers.forEach(CompletableFuture::join);
			assertThat((double) mostInWindow(stage)).isLessThanOrEqualTo(allowed(1));
			assertThat(stage.arrivals()).isGreaterThan((int) (LOAD_MS / 2_000));
			assertThat(LimitedEndpointTests.this.answers)
				.anySatisfy((answer) -> assertThat(answer.join().statusCode()).isEqualTo(200));
		}

	}

	@Nested
	class OneRequest {

		/** Longer than records and heartbeats take to arrive, in ms. */
		private static final long SETTLE_MS = 1_200;

		/** Half of the time of a request, which would wait for most of it, in ms. */
		private static final long AT_ONCE_MS = 2_500;

		private EndpointStandIn endpoint;

		private void hearAtFirstVm(int vms, String limit) throws Exception {
			this.endpoint = endpoints("core", 1).get(0);
			this.endpoint.limit(limit);
			startVms(vms);
			assertThat(push(0).statusCode()).isEqualTo(200);
			Thread.sleep(SETTLE_MS);
		}

		private HttpResponse<String> push(int vm) throws Exception {
			return LimitedEndpointTests.this.installation
				.send(LimitedEndpointTests.this.installation.attempt(vm, "/push/x"));
		}

		private boolean isServed(int vm) {
			try {
				return push(vm).statusCode() == 200;
			}
			catch (Exception ex) {
				return false;
			}
		}

		@Test
		void isRefusedAtOnceWithTheTimeOfTheNextRequestWhenNoShareIsLeft() throws Exception {
			hearAtFirstVm(1, ALMOST_NONE);
			for (int i = 0; i < 5; i++) {
				long sentAtMs = nowMs();
				HttpResponse<String> refused = push(0);
				assertThat(nowMs() - sentAtMs).isLessThan(AT_ONCE_MS);
				assertThat(refused.statusCode()).isEqualTo(503);
				assertThat(refused.body()).contains("ENDPOINTS_LIMITED");
				assertThat(Double.parseDouble(refused.headers().firstValue("Retry-After").orElseThrow())).isBetween(4.0,
						15.0);
			}
			assertThat(this.endpoint.arrivals()).isEqualTo(1);
			assertThat(LimitedEndpointTests.this.installation.metrics(0)).contains("fulmargap_endpoints_limited 1");
		}

		@Test
		void isNotSentByAVmThatLearnedOfTheLimitFromAnother() throws Exception {
			hearAtFirstVm(2, ALMOST_NONE);
			assertThat(push(1).statusCode()).isEqualTo(503);
			assertThat(this.endpoint.arrivals()).isEqualTo(1);
		}

		@Test
		void isServedByAllVmsOnceAnAnswerNamesNoLimitAnyMore() throws Exception {
			hearAtFirstVm(2, "1");
			this.endpoint.limit(null);
			Installation.await(() -> isServed(0));
			Thread.sleep(SETTLE_MS);
			for (int i = 0; i < 20; i++) {
				assertThat(push(i % 2).statusCode()).isEqualTo(200);
			}
		}

		@Test
		void isServedByANewProcessOfTheEndpoint() throws Exception {
			hearAtFirstVm(1, ALMOST_NONE);
			this.endpoint.limit(null);
			LimitedEndpointTests.this.installation.store()
				.put(CallerWire.ENDPOINT_TOPIC, "core-1",
						this.endpoint.record("core", "a", "ready", EndpointStandIn.STARTED_AT_MS + 60_000));
			Thread.sleep(SETTLE_MS);
			for (int i = 0; i < 5; i++) {
				assertThat(push(0).statusCode()).isEqualTo(200);
			}
		}

		@Test
		void isServedIfTheLimitCanNotBeRead() throws Exception {
			hearAtFirstVm(1, "-1");
			for (int i = 0; i < 5; i++) {
				assertThat(push(0).statusCode()).isEqualTo(200);
			}
		}

	}

}
