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

}
