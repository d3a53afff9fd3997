package org.fulmargap.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.fulmargap.config.Configuration;
import org.fulmargap.config.EndpointSpec;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against routing requests to endpoints that are down, overloaded, slow or cold.
 */
class AdaptiveRouterTests {

	private static final RouteRequest REQUEST = RouteRequest.forService("generate");

	private final AdaptiveRouter router = new AdaptiveRouter(new RouterSettings("vm-0", "a", 1, 2_000, 1));

	private final Map<String, EndpointSpec> endpoints = new HashMap<>();

	private long nowMs;

	private void endpoint(String name, String domain, int maxConcurrency) {
		this.endpoints.put(name, new EndpointSpec("generate", domain, "http://127.0.0.1:1", maxConcurrency, null));
	}

	private void update(String... unavailable) {
		this.router.update(new Configuration(Map.of(), Map.of(), this.endpoints), Set.of(unavailable), List.of("vm-0"),
				this.nowMs);
	}

	private void report(String endpoint, String incarnation, int capacity) {
		this.router.observeLoad(endpoint, new LoadReport(incarnation, 0, 0, capacity, this.nowMs, List.of()),
				this.nowMs);
	}

	private List<String> fill(RouteRequest request) {
		List<String> names = new ArrayList<>();
		Optional<Reservation> next = this.router.select(request, this.nowMs);
		while (next.isPresent() && names.size() < 100) {
			names.add(next.get().endpoint());
			next = this.router.select(request, this.nowMs);
		}
		return names;
	}

	private String call(RouteRequest request, long durationMs) {
		try (Reservation reservation = this.router.select(request, this.nowMs).orElseThrow()) {
			this.nowMs += durationMs;
			reservation.succeeded(durationMs, 0, "i1", this.nowMs);
			return reservation.endpoint();
		}
	}

	private void fail(CallFailure failure) {
		try (Reservation reservation = this.router.select(REQUEST, this.nowMs).orElseThrow()) {
			reservation.failed(failure, this.nowMs);
		}
	}

	private void advance(long durationMs) {
		this.nowMs += durationMs;
	}

	private long now() {
		return this.nowMs;
	}

	private AdaptiveRouter router() {
		return this.router;
	}

	@Nested
	class FailureDomains {

		@Test
		void theOwnDomainIsUsedFirstAndOtherDomainsWhenItIsFull() {
			endpoint("a1", "a", 2);
			endpoint("b1", "b", 2);
			update();
			report("a1", "i1", 2);
			report("b1", "i1", 2);
			assertThat(fill(REQUEST)).containsExactly("a1", "a1", "b1", "b1");
		}

		@Test
		void otherDomainsAreNotUsedWhenTheRequestForbidsIt() {
			endpoint("b1", "b", 2);
			update();
			assertThat(fill(new RouteRequest("generate", "", 0, Set.of(), false, true))).isEmpty();
		}

		@Test
		void anEndpointThatWasOutOfServiceGetsNoWorkAndReturnsCold() {
			endpoint("a1", "a", 8);
			update();
			report("a1", "i1", 8);
			update("a1");
			assertThat(fill(REQUEST)).isEmpty();
			advance(60_000);
			update();
			assertThat(fill(REQUEST)).hasSize(1);
		}

	}

	@Nested
	class SlowStarts {

		@Test
		void aNewIncarnationRestartsTheWarmUpAndALateReportOfTheOldOneDoesNot() {
			endpoint("a1", "a", 8);
			update();
			report("a1", "i1", 8);
			advance(100);
			report("a1", "i2", 8);
			long startMs = router().warmUpStarts().get("a1");
			advance(100);
			report("a1", "i1", 8);
			assertThat(router().warmUpStarts()).containsEntry("a1", startMs);
			assertThat(fill(REQUEST)).hasSize(1);
		}

		@Test
		void aRestartThatAPeerReportedIsNotCountedAgain() {
			endpoint("a1", "a", 8);
			update();
			report("a1", "i1", 8);
			advance(1_000);
			router().mergeWarmUpStarts(Map.of("a1", 900L), now());
			advance(1_000);
			report("a1", "i2", 8);
			assertThat(router().warmUpStarts()).containsEntry("a1", 900L);
		}

		@Test
		void fiveSlowAnswersRestartTheWarmUp() {
			endpoint("a1", "a", 8);
			update();
			report("a1", "i1", 8);
			for (int i = 0; i < 20; i++) {
				call(REQUEST, 100);
			}
			for (int i = 0; i < 5; i++) {
				assertThat(router().warmUpStarts()).isEmpty();
				call(REQUEST, 400);
			}
			assertThat(router().warmUpStarts()).containsKey("a1");
			assertThat(fill(REQUEST)).hasSize(1);
		}

		@Test
		void theConcurrencyLimitGrowsOnlyWhileTheEndpointWorks() {
			endpoint("a1", "a", 8);
			update();
			report("a1", "i1", 4);
			report("a1", "i2", 4);
			advance(60_000);
			assertThat(router().concurrencyShare("generate", now())).isEqualTo(1);
			for (int i = 0; i < 41; i++) {
				call(REQUEST, 100);
			}
			assertThat(router().concurrencyShare("generate", now())).isEqualTo(4);
		}

	}

	@Nested
	class Health {

		@Test
		void aRefusedConnectionTakesTheEndpointOutUntilASingleProbeSucceeds() {
			endpoint("a1", "a", 8);
			update();
			report("a1", "i1", 8);
			fail(CallFailure.CONNECT_FAILED);
			assertThat(fill(REQUEST)).isEmpty();
			advance(EndpointHealth.INITIAL_BACKOFF_MS);
			Reservation probe = router().select(REQUEST, now()).orElseThrow();
			assertThat(fill(REQUEST)).isEmpty();
			probe.succeeded(10, 0, "i1", now());
			probe.close();
			assertThat(fill(REQUEST)).hasSize(8);
		}

		@Test
		void theBackoffDoublesWhileProbesFail() {
			endpoint("a1", "a", 8);
			update();
			fail(CallFailure.CONNECT_FAILED);
			advance(EndpointHealth.INITIAL_BACKOFF_MS);
			fail(CallFailure.CONNECT_FAILED);
			advance(EndpointHealth.INITIAL_BACKOFF_MS);
			assertThat(fill(REQUEST)).isEmpty();
			advance(EndpointHealth.INITIAL_BACKOFF_MS);
			assertThat(fill(REQUEST)).hasSize(1);
		}

		@Test
		void aSlowEndpointGetsLessWorkThanAFastOne() {
			endpoint("a1", "a", 4);
			endpoint("a2", "a", 4);
			update();
			report("a1", "i1", 4);
			report("a2", "i1", 4);
			Map<String, Integer> calls = new HashMap<>();
			for (int i = 0; i < 200; i++) {
				try (Reservation call = router().select(REQUEST, now()).orElseThrow()) {
					long durationMs = call.endpoint().equals("a1") ? 500 : 50;
					advance(durationMs);
					call.succeeded(durationMs, 0, "i1", now());
					calls.merge(call.endpoint(), 1, Integer::sum);
				}
			}
			assertThat(calls.getOrDefault("a1", 0)).isLessThan(20);
		}

		@Test
		void anEndpointWhoseCallHangsIsAvoidedBeforeTheCallEndsAndTriedAgainLater() {
			endpoint("a1", "a", 4);
			endpoint("a2", "a", 4);
			update();
			report("a1", "i1", 4);
			report("a2", "i1", 4);
			for (int i = 0; i < 20; i++) {
				call(REQUEST, 100);
			}
			Reservation hanging = router().select(REQUEST, now()).orElseThrow();
			advance(300);
			for (int i = 0; i < 20; i++) {
				// The other endpoint has more requests in flight.
				try (Reservation first = router().select(REQUEST, now()).orElseThrow();
						Reservation second = router().select(REQUEST, now()).orElseThrow()) {
					assertThat(List.of(first.endpoint(), second.endpoint(), call(REQUEST, 100)))
						.doesNotContain(hanging.endpoint());
				}
			}
			hanging.failed(CallFailure.TIMED_OUT, now());
			hanging.close();
			for (int i = 0; i < 20; i++) {
				assertThat(call(REQUEST, 100)).isNotEqualTo(hanging.endpoint());
			}
			advance(120_000);
			assertThat(List.of(call(REQUEST, 100), call(REQUEST, 100), call(REQUEST, 100), call(REQUEST, 100)))
				.contains(hanging.endpoint());
		}

		@Test
		void onlyOneIsolatedRequestRunsOnAnEndpoint() {
			endpoint("a1", "a", 4);
			endpoint("a2", "a", 4);
			update();
			report("a1", "i1", 4);
			report("a2", "i1", 4);
			RouteRequest isolated = new RouteRequest("generate", "", 0, Set.of(), true, false);
			assertThat(fill(isolated)).containsExactlyInAnyOrder("a1", "a2");
			assertThat(fill(REQUEST)).hasSize(6);
		}

		@Test
		void aLeavingEndpointGetsNoNewWork() {
			endpoint("a1", "a", 4);
			update();
			fail(CallFailure.LEAVING);
			advance(5_000);
			assertThat(fill(REQUEST)).isEmpty();
		}

	}

	@Nested
	class Prefixes {

		@Test
		void requestsWithTheSamePrefixAreSentToTheEndpointThatCachesIt() {
			for (int i = 0; i < 8; i++) {
				endpoint("a" + i, "a", 4);
			}
			update();
			for (int i = 0; i < 8; i++) {
				report("a" + i, "i1", 4);
			}
			Map<String, Set<String>> used = new HashMap<>();
			for (int i = 0; i < 400; i++) {
				String prefix = "p" + i % 10;
				RouteRequest request = new RouteRequest("generate", prefix, 1_000, Set.of(), false, false);
				try (Reservation call = router().select(request, i).orElseThrow()) {
					boolean cached = !used.computeIfAbsent(prefix, (key) -> new java.util.HashSet<>())
						.add(call.endpoint());
					call.succeeded((cached) ? 100 : 300, (cached) ? 800 : 0, "i1", i);
				}
			}
			int copies = used.values().stream().mapToInt(Set::size).sum();
			assertThat(copies).as("endpoints that computed a prefix").isLessThan(30);
		}

		@Test
		void anEndpointThatIsKnownToCacheThePrefixIsPreferredToItsOwner() {
			endpoint("a1", "a", 4);
			endpoint("a2", "a", 4);
			update();
			report("a1", "i1", 4);
			report("a2", "i1", 4);
			for (int i = 0; i < 20; i++) {
				RouteRequest request = new RouteRequest("generate", "", 100 * i, Set.of(), false, false);
				try (Reservation call = router().select(request, now()).orElseThrow()) {
					call.succeeded(100 + 20 * i, 0, "i1", now());
				}
			}
			for (int i = 0; i < 10; i++) {
				router().observeCache("a1", "p" + i, 800, now());
				RouteRequest request = new RouteRequest("generate", "p" + i, 1_000, Set.of(), false, false);
				try (Reservation call = router().select(request, now()).orElseThrow()) {
					assertThat(call.endpoint()).isEqualTo("a1");
				}
			}
		}

		@Test
		void theEstimateDecaysAfterAMinuteAndIsBounded() {
			PrefixAffinity prefixes = new PrefixAffinity(2);
			prefixes.recordAnswer("p", 1_000, 800, 0);
			assertThat(prefixes.cachedTokens("p", 1_000, 60_000)).isEqualTo(800);
			assertThat(prefixes.cachedTokens("p", 1_000, 120_000)).isEqualTo(400);
			prefixes.recordCacheEvent("q", 10, 0);
			prefixes.recordCacheEvent("r", 10, 0);
			assertThat(prefixes.cachedTokens("p", 1_000, 0)).isZero();
			assertThat(PrefixAffinity.isWorthQueueing(100, 800, 0.2)).isTrue();
			assertThat(PrefixAffinity.isWorthQueueing(200, 800, 0.2)).isFalse();
		}

	}

	@Nested
	class Concurrency {

		@Test
		void threadsTogetherStayWithinTheShare() throws InterruptedException {
			endpoint("a1", "a", 5);
			update();
			report("a1", "i1", 5);
			AtomicInteger inFlight = new AtomicInteger();
			AtomicInteger highest = new AtomicInteger();
			ExecutorService threads = Executors.newFixedThreadPool(8);
			for (int t = 0; t < 8; t++) {
				threads.execute(() -> {
					for (int i = 0; i < 5_000; i++) {
						router().select(REQUEST, 1).ifPresent((call) -> {
							highest.accumulateAndGet(inFlight.incrementAndGet(), Math::max);
							inFlight.decrementAndGet();
							call.close();
						});
					}
				});
			}
			threads.shutdown();
			assertThat(threads.awaitTermination(30, TimeUnit.SECONDS)).isTrue();
			assertThat(highest.get()).isLessThanOrEqualTo(5);
			assertThat(fill(REQUEST)).hasSize(5);
		}

	}

}
