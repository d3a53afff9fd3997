package org.fulmargap.entry;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.HashSet;
import java.util.Set;

import org.fulmargap.platform.standin.EndpointStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of entry VMs with endpoints that answer 503 with {@code Retry-After}. Requests
 * that are sent there before that time has passed are turned away in vain.
 */
class RestingEndpointTests {

	private static final String REST_SECONDS = "2.5";

	private static final long REST_MS = 2_500;

	/** Longer than any test, so that no rest ends during its checks. */
	private static final String LONG_REST_SECONDS = "60";

	/** Half of the time of a request, which would wait for most of it. */
	private static final long AT_ONCE_MS = 2_500;

	private static final int REQUESTS = 30;

	private Installation installation;

	@BeforeEach
	void start() throws IOException {
		this.installation = new Installation();
	}

	@AfterEach
	void stop() {
		this.installation.close();
	}

	private EndpointStandIn resting(String id, String service, String seconds) throws IOException {
		EndpointStandIn endpoint = this.installation.endpoint(id, service);
		endpoint.retryAfter(seconds, true);
		return endpoint;
	}

	private void startVm() throws IOException, InterruptedException {
		this.installation.vm("vm-0");
		this.installation.awaitReady();
	}

	private HttpResponse<String> push() throws IOException, InterruptedException {
		return this.installation.send(this.installation.attempt(0, "/push/x"));
	}

	private HttpResponse<String> pipeline() throws IOException, InterruptedException {
		return this.installation.send(this.installation.pipeline(0));
	}

	private void pushUntilArrived(EndpointStandIn endpoint, int arrivals) throws IOException, InterruptedException {
		for (int i = 0; endpoint.arrivals() < arrivals; i++) {
			assertThat(i).as("requests without one at the endpoint").isLessThan(200);
			push();
		}
	}

	private static double retryAfterMs(HttpResponse<String> refused) {
		return Double.parseDouble(refused.headers().firstValue("Retry-After").orElseThrow()) * 1_000;
	}

	@Nested
	class PlainRequests {

		@Test
		void requestsGoElsewhereUntilTheEndOfTheRestAndThenReturn() throws Exception {
			EndpointStandIn resting = resting("core-1", "core", REST_SECONDS);
			EndpointStandIn other = RestingEndpointTests.this.installation.endpoint("core-2", "core");
			startVm();
			long beforeMs = System.nanoTime() / 1_000_000;
			pushUntilArrived(resting, 1);
			resting.retryAfter(null, true);
			int served = other.runs();
			while (resting.arrivals() == 1) {
				assertThat(push().statusCode()).isEqualTo(200);
				// Makes the other endpoint look slow.
				other.workMs(50);
			}
			assertThat(System.nanoTime() / 1_000_000 - beforeMs).isGreaterThanOrEqualTo(REST_MS);
			assertThat(other.runs()).isGreaterThan(served);
		}

		@Test
		void theRestIsCountedInTheMetrics() throws Exception {
			EndpointStandIn resting = resting("core-1", "core", LONG_REST_SECONDS);
			RestingEndpointTests.this.installation.endpoint("core-2", "core");
			startVm();
			pushUntilArrived(resting, 1);
			assertThat(RestingEndpointTests.this.installation.metrics(0))
				.contains("fulmargap_endpoints_set_aside{reason=\"RESTING\"} 1")
				.contains("fulmargap_endpoints_set_aside{reason=\"LEAVING\"} 0");
		}

		@Test
		void aRestOfZeroSecondsSetsNothingAside() throws Exception {
			EndpointStandIn resting = resting("core-1", "core", "0");
			RestingEndpointTests.this.installation.endpoint("core-2", "core").workMs(100);
			startVm();
			pushUntilArrived(resting, 2);
			assertThat(RestingEndpointTests.this.installation.metrics(0))
				.doesNotContain("endpoints_set_aside{reason=\"RESTING\"} 1");
		}

		// The status of the endpoint would deny that the request has run.
		@Test
		void aRequestThatMayHaveRunIsNotSentElsewhere() throws Exception {
			EndpointStandIn resting = RestingEndpointTests.this.installation.endpoint("core-1", "core");
			resting.retryAfter(LONG_REST_SECONDS, false);
			startVm();
			assertThat(push().statusCode()).isEqualTo(502);
			assertThat(resting.arrivals()).isEqualTo(1);
			EndpointStandIn other = RestingEndpointTests.this.installation.endpoint("core-2", "core");
			Installation.await(this::isServed);
			assertThat(other.mostRunsOfOneAttempt()).isEqualTo(1);
			assertThat(resting.arrivals()).isEqualTo(1);
		}

		private boolean isServed() {
			try {
				return push().statusCode() == 200;
			}
			catch (IOException ex) {
				return false;
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return false;
			}
		}

		@Test
		void requestsAreRefusedAtOnceWithTheEarliestEndAndSpreadIfAllRest() throws Exception {
			EndpointStandIn one = resting("core-1", "core", "40");
			EndpointStandIn two = resting("core-2", "core", LONG_REST_SECONDS);
			startVm();
			pushUntilBothRest(one, two);
			Set<Double> times = new HashSet<>();
			for (int i = 0; i < REQUESTS; i++) {
				long sentAtMs = System.currentTimeMillis();
				HttpResponse<String> refused = push();
				assertThat(refused.statusCode()).isEqualTo(503);
				assertThat(System.currentTimeMillis() - sentAtMs).isLessThan(AT_ONCE_MS);
				assertThat(retryAfterMs(refused)).isBetween(20_000.0, 60_100.0);
				times.add(retryAfterMs(refused));
			}
			assertThat(times).hasSizeGreaterThan(REQUESTS / 2);
			assertThat(one.arrivals()).isEqualTo(1);
			assertThat(two.arrivals()).isEqualTo(1);
		}

		private void pushUntilBothRest(EndpointStandIn one, EndpointStandIn two) throws Exception {
			while (one.arrivals() == 0 || two.arrivals() == 0) {
				assertThat(push().statusCode()).isEqualTo(503);
			}
		}

	}

	@Nested
	class StageCalls {

		@Test
		void workItemsGoToAnotherEndpoint() throws Exception {
			EndpointStandIn resting = resting("stage-1", "stage", LONG_REST_SECONDS);
			RestingEndpointTests.this.installation.endpoint("stage-2", "stage");
			RestingEndpointTests.this.installation.endpoint("pool-1", "pool");
			startVm();
			for (int i = 0; i < 8; i++) {
				assertThat(pipeline().statusCode()).isEqualTo(200);
			}
			assertThat(resting.arrivals()).isLessThanOrEqualTo(1);
		}

		@Test
		void aRequestIsRefusedAtOnceWithTheEndOfTheRestIfAllRest() throws Exception {
			EndpointStandIn resting = resting("stage-1", "stage", LONG_REST_SECONDS);
			RestingEndpointTests.this.installation.endpoint("pool-1", "pool");
			startVm();
			for (int i = 0; i < 3; i++) {
				long sentAtMs = System.currentTimeMillis();
				HttpResponse<String> refused = pipeline();
				assertThat(refused.statusCode()).isEqualTo(503);
				assertThat(retryAfterMs(refused)).isGreaterThan(40_000);
				assertThat(System.currentTimeMillis() - sentAtMs).isLessThan(AT_ONCE_MS);
			}
			assertThat(resting.arrivals()).isEqualTo(1);
		}

	}

}
