package org.fulmargap.placement;

import java.util.List;
import java.util.Set;

import org.fulmargap.catalog.EngineCapacity;
import org.fulmargap.catalog.ServiceSpec;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link Placement}.
 */
class PlacementTests {

	private final Placement placement = new Placement("a");

	private final ServiceSpec engines = new ServiceSpec("engines", 0, 11, new EngineCapacity(64, 300_000), null);

	private final ServiceSpec plain = new ServiceSpec("plain", 0, 0, null, null);

	private final Placement.Demand noPrompt = new Placement.Demand(Prompt.NONE, List.of());

	private static Placement.Demand demand(Prompt prompt) {
		return new Placement.Demand(prompt, List.of());
	}

	private static Prompt prompt(String shared, String own) {
		return new Prompt(9_000, 50, List.of(new PromptPart(shared, 6_000), new PromptPart(own, 3_000)));
	}

	@Nested
	class Engines {

		@Test
		void theEngineWithTheSharedPromptPartInItsCacheIsChosen() {
			Endpoint one = Endpoints.ready("one", "a");
			Endpoint two = Endpoints.ready("two", "a");
			two.peerSent(prompt("shared", "first"), 300_000);
			Choice choice = PlacementTests.this.placement
				.choose(List.of(one, two), Set.of(), PlacementTests.this.engines, demand(prompt("shared", "second")), 7,
						0)
				.orElseThrow();
			assertThat(choice.endpoint()).isSameAs(two);
			assertThat(choice.cachedTokens()).isEqualTo(6_000);
		}

		@Test
		void aLongQueueOutweighsACachedPromptPart() {
			Endpoint one = Endpoints.ready("one", "a");
			Endpoint two = Endpoints.ready("two", "a");
			two.peerSent(prompt("shared", "first"), 300_000);
			two.recordReport("peer", new PeerLoad(20, 60_000, 0));
			Choice choice = PlacementTests.this.placement
				.choose(List.of(one, two), Set.of(), PlacementTests.this.engines, demand(prompt("shared", "second")), 7,
						0)
				.orElseThrow();
			assertThat(choice.endpoint()).isSameAs(one);
		}

		@Test
		void allVmsChooseTheSameEngineForANewPromptPart() {
			List<Endpoint> all = List.of(Endpoints.ready("one", "a"), Endpoints.ready("two", "a"),
					Endpoints.ready("three", "a"));
			Endpoint chosen = null;
			for (int vm = 0; vm < 5; vm++) {
				Choice choice = new Placement("a")
					.choose(all, Set.of(), PlacementTests.this.engines, demand(prompt("shared", "own" + vm)), 7, 0)
					.orElseThrow();
				assertThat(chosen == null || chosen == choice.endpoint()).isTrue();
				chosen = choice.endpoint();
			}
		}

		@Test
		void theEngineInTheDomainOfLargeInputsIsChosen() {
			Placement.Demand demand = new Placement.Demand(Prompt.NONE,
					List.of(new Placement.Input("b", 1_500_000), new Placement.Input("b", 1_500_000)));
			Choice choice = PlacementTests.this.placement
				.choose(List.of(Endpoints.ready("one", "a"), Endpoints.ready("two", "b")), Set.of(),
						PlacementTests.this.engines, demand, 7, 0)
				.orElseThrow();
			assertThat(choice.endpoint().record().id()).isEqualTo("two");
		}

	}

	@Nested
	class Health {

		@Test
		void aSuspendedEndpointIsNotChosen() {
			Endpoint one = Endpoints.ready("one", "a");
			Endpoint two = Endpoints.ready("two", "b");
			one.failed(true, 0);
			Choice choice = PlacementTests.this.placement
				.choose(List.of(one, two), Set.of(), PlacementTests.this.plain, PlacementTests.this.noPrompt, 7, 1)
				.orElseThrow();
			assertThat(choice.endpoint()).isSameAs(two);
		}

		@Test
		void ifAllEndpointsAreSuspendedOneIsStillChosen() {
			Endpoint one = Endpoints.ready("one", "a");
			one.failed(true, 0);
			assertThat(PlacementTests.this.placement.choose(List.of(one), Set.of(), PlacementTests.this.plain,
					PlacementTests.this.noPrompt, 7, 1))
				.isPresent();
		}

		@Test
		void anExcludedEndpointIsNotChosen() {
			Endpoint one = Endpoints.ready("one", "a");
			assertThat(PlacementTests.this.placement.choose(List.of(one), Set.of("one"), PlacementTests.this.plain,
					PlacementTests.this.noPrompt, 7, 1))
				.isEmpty();
		}

		@Test
		void aFastEndpointIsPreferredToASlowOne() {
			Endpoint slow = Endpoints.ready("slow", "a");
			Endpoint fast = Endpoints.ready("fast", "b");
			for (int i = 0; i < 10; i++) {
				slow.succeeded(400, 40, 0);
			}
			Choice choice = PlacementTests.this.placement
				.choose(List.of(slow, fast), Set.of(), PlacementTests.this.plain, PlacementTests.this.noPrompt, 7, 1)
				.orElseThrow();
			assertThat(choice.endpoint()).isSameAs(fast);
		}

	}

	@Nested
	class Cold {

		@Test
		void allVmsTogetherStayWithinTheRateLimitOfAColdEndpoint() {
			int vmCount = 7;
			int sent = 0;
			long simulatedMs = 3_000;
			for (int vm = 0; vm < vmCount; vm++) {
				Endpoint cold = Endpoints.cold("cold", simulatedMs);
				for (long nowMs = 0; nowMs < simulatedMs; nowMs += 10) {
					var choice = PlacementTests.this.placement.choose(List.of(cold), Set.of(),
							PlacementTests.this.engines, PlacementTests.this.noPrompt, vmCount, nowMs);
					if (choice.isPresent()) {
						cold.started(Prompt.NONE, 0, nowMs);
						sent++;
					}
				}
			}
			// 11 requests a second, and one more for each VM at the start.
			assertThat(sent).isBetween(20, 11 * 3 + vmCount);
		}

	}

}
