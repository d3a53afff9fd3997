package org.fulmargap.placement;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link EndpointReach}.
 */
class EndpointReachTests {

	private static final long NOW_MS = 10_000;

	private static final int LISTED = 6;

	private final EndpointReach reach = new EndpointReach("a");

	private final List<Endpoint> endpoints = new ArrayList<>();

	private void endpoint(String address, String domain) {
		EndpointRecord record = new EndpointRecord("i-" + address, "core", address, domain, 1, false, 0, 1, 1, "v1");
		this.endpoints.add(new Endpoint(record, NOW_MS));
	}

	private void fail(String... addresses) {
		for (String address : addresses) {
			this.reach.failed(address);
		}
	}

	@Nested
	class CutOff {

		@Test
		void failuresOfOneEndpointAreNoCut() {
			fail("1:1", "1:1", "1:1", "1:1");
			EndpointReachTests.this.reach.checked(LISTED);
			assertThat(EndpointReachTests.this.reach.isCutOff()).isFalse();
		}

		@Test
		void aCheckThatFailsAtThreeEndpointsShowsACut() {
			fail("1:1", "2:1");
			EndpointReachTests.this.reach.checked(LISTED);
			assertThat(EndpointReachTests.this.reach.isCutOff()).isFalse();
			fail("3:1");
			EndpointReachTests.this.reach.checked(LISTED);
			assertThat(EndpointReachTests.this.reach.isCutOff()).isTrue();
		}

		@Test
		void failuresBeforeAConnectionDoNotCount() {
			fail("1:1", "2:1");
			EndpointReachTests.this.reach.connected(NOW_MS);
			fail("3:1");
			EndpointReachTests.this.reach.checked(LISTED);
			assertThat(EndpointReachTests.this.reach.isCutOff()).isFalse();
		}

		@Test
		void oneConnectionEndsTheCut() {
			fail("1:1", "2:1", "3:1");
			EndpointReachTests.this.reach.checked(LISTED);
			EndpointReachTests.this.reach.connected(NOW_MS);
			assertThat(EndpointReachTests.this.reach.isCutOff()).isFalse();
		}

		@Test
		void endpointsThatCrashTogetherAreNoCutBeforeOthersWereTried() {
			fail("1:1", "2:1", "3:1");
			assertThat(EndpointReachTests.this.reach.isCutOff()).isFalse();
		}

		@Test
		void withTwoEndpointsBothHaveToFail() {
			fail("1:1");
			EndpointReachTests.this.reach.checked(2);
			assertThat(EndpointReachTests.this.reach.isCutOff()).isFalse();
			fail("2:1");
			EndpointReachTests.this.reach.checked(2);
			assertThat(EndpointReachTests.this.reach.isCutOff()).isTrue();
		}

		@Test
		void theFailureOfTheOnlyEndpointIsNoCut() {
			fail("1:1");
			EndpointReachTests.this.reach.checked(1);
			assertThat(EndpointReachTests.this.reach.isCutOff()).isFalse();
		}

	}

	@Nested
	class Checks {

		@Test
		void onlyAConnectionOpenedAfterTheFailedOneWasBegunMakesACheckNeedless() {
			EndpointReachTests.this.reach.connected(NOW_MS);
			assertThat(EndpointReachTests.this.reach.needsCheck(NOW_MS - 1)).isFalse();
			assertThat(EndpointReachTests.this.reach.needsCheck(NOW_MS)).isTrue();
		}

		@Test
		void aCutNeedsNoCheck() {
			fail("1:1", "2:1", "3:1");
			EndpointReachTests.this.reach.checked(LISTED);
			assertThat(EndpointReachTests.this.reach.needsCheck(NOW_MS)).isFalse();
		}

		@Test
		void targetsAreOfDifferentDomainsTheOwnOneFirst() {
			endpoint("1:1", "c");
			endpoint("2:1", "b");
			endpoint("3:1", "b");
			endpoint("4:1", "a");
			endpoint("5:1", "c");
			List<String> targets = EndpointReachTests.this.reach.checkTargets(EndpointReachTests.this.endpoints);
			assertThat(targets).hasSize(3);
			assertThat(targets.get(0)).isEqualTo("4:1");
			assertThat(targets.subList(1, 3)).containsAnyOf("2:1", "3:1").containsAnyOf("1:1", "5:1");
		}

		@Test
		void endpointsThatFailedAreNoTargets() {
			endpoint("1:1", "a");
			endpoint("2:1", "a");
			fail("1:1");
			assertThat(EndpointReachTests.this.reach.checkTargets(EndpointReachTests.this.endpoints))
				.containsExactly("2:1");
		}

		@Test
		void checksBeginAtDifferentEndpoints() {
			for (int i = 1; i <= 6; i++) {
				endpoint(i + ":1", "a");
			}
			List<String> first = EndpointReachTests.this.reach.checkTargets(EndpointReachTests.this.endpoints);
			List<String> second = EndpointReachTests.this.reach.checkTargets(EndpointReachTests.this.endpoints);
			assertThat(first).isNotEqualTo(second);
		}

		@Test
		void retriesGoThroughAllEndpoints() {
			endpoint("1:1", "a");
			endpoint("2:1", "b");
			assertThat(List.of(EndpointReachTests.this.reach.retryTarget(EndpointReachTests.this.endpoints),
					EndpointReachTests.this.reach.retryTarget(EndpointReachTests.this.endpoints)))
				.containsExactlyInAnyOrder("1:1", "2:1");
			assertThat(EndpointReachTests.this.reach.retryTarget(List.of())).isEmpty();
		}

	}

}
