package org.fulmargap.rollout;

import java.util.ArrayList;
import java.util.List;

import org.fulmargap.placement.Endpoint;
import org.fulmargap.placement.EndpointDirectory;
import org.fulmargap.placement.EndpointRecord;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that a VM sends to the wrong version of a rollout.
 */
class VersionSplitTests {

	private static final RolloutLimits LIMITS = new RolloutLimits(0.1, 50, 5_000);

	private static final RolloutOrder ORDER = new RolloutOrder("pool", "v2", 20_000, 7);

	private final VersionSplit split = new VersionSplit(ORDER, LIMITS, 10);

	private static RolloutStep step(int number, RolloutPhase phase, double share) {
		return new RolloutStep(7, number, phase, share, RolloutState.IN_PROGRESS);
	}

	private int sent(int requests, long nowMs) {
		int updated = 0;
		for (int i = 0; i < requests; i++) {
			boolean toUpdated = this.split.sendsToUpdated("attempt-" + i, nowMs);
			this.split.sent(toUpdated);
			updated += (toUpdated) ? 1 : 0;
		}
		return updated;
	}

	@Test
	void aVmKeepsItsPartOfTheExposureBoundWhateverTheStepSays() {
		this.split.follow(step(1, RolloutPhase.CANARY, 0.3), 0);
		assertThat(sent(1_000, 1)).isLessThanOrEqualTo((int) (0.1 * 1_000) + 10);
	}

	@Test
	void requestsAssignedTogetherKeepTheExposureBoundWhenTheyAreSent() {
		this.split.follow(step(1, RolloutPhase.CANARY, 0.3), 0);
		int assigned = 0;
		for (int i = 0; i < 1_000; i++) {
			assigned += this.split.sendsToUpdated("attempt-" + i, 1) ? 1 : 0;
		}
		int updated = 0;
		for (int i = 0; i < assigned; i++) {
			boolean toUpdated = this.split.stillToUpdated(true, 2);
			this.split.sent(toUpdated);
			updated += (toUpdated) ? 1 : 0;
		}
		assertThat(assigned).isGreaterThan(200);
		assertThat(updated).isLessThanOrEqualTo((int) (0.1 * assigned) + 10);
	}

	@Test
	void requestsWithoutAnIdDoNotAllGoToTheNewVersion() {
		this.split.follow(step(1, RolloutPhase.RAMP, 0.3), 0);
		int updated = 0;
		for (int i = 0; i < 100; i++) {
			boolean toUpdated = this.split.sendsToUpdated("", 1);
			this.split.sent(toUpdated);
			updated += (toUpdated) ? 1 : 0;
		}
		assertThat(updated).isBetween(10, 50);
	}

	@Nested
	class Steps {

		@Test
		void withoutAStepTheNewVersionGetsNothing() {
			assertThat(sent(1_000, 0)).isZero();
		}

		@Test
		void anExpiredStepAllowsNothing() {
			VersionSplitTests.this.split.follow(step(1, RolloutPhase.FULL, 1), 0);
			assertThat(sent(10, VersionSplit.STEP_LIFETIME_MS - 1)).isEqualTo(10);
			assertThat(sent(10, VersionSplit.STEP_LIFETIME_MS)).isZero();
		}

		@Test
		void anEarlierStepDoesNotRaiseTheShareAgain() {
			VersionSplitTests.this.split.follow(step(4, RolloutPhase.CANARY, 0), 0);
			VersionSplitTests.this.split.follow(step(3, RolloutPhase.FULL, 1), 0);
			assertThat(sent(10, 1)).isZero();
		}

		@Test
		void aRevertedRolloutIsNotTakenUpAgain() {
			RolloutStep reverted = new RolloutStep(7, 2, RolloutPhase.CANARY, 0, RolloutState.REVERTED);
			VersionSplitTests.this.split.follow(reverted, 0);
			VersionSplitTests.this.split.follow(step(9, RolloutPhase.FULL, 1), 1);
			assertThat(sent(10, 2)).isZero();
		}

		@Test
		void aCompletedRolloutOutlastsTheLeaseOfItsStep() {
			RolloutStep complete = new RolloutStep(7, 6, RolloutPhase.FULL, 1, RolloutState.COMPLETE);
			VersionSplitTests.this.split.follow(complete, 0);
			assertThat(sent(10, 60_000)).isEqualTo(10);
		}

		@Test
		void stepsOfAnotherOrderAreIgnored() {
			VersionSplitTests.this.split.follow(new RolloutStep(6, 9, RolloutPhase.FULL, 1, RolloutState.IN_PROGRESS),
					0);
			assertThat(sent(10, 1)).isZero();
		}

	}

	@Nested
	class Candidates {

		private final EndpointDirectory directory = new EndpointDirectory();

		private List<Endpoint> endpoints(String version, int count) {
			List<Endpoint> endpoints = new ArrayList<>();
			for (int i = 0; i < count; i++) {
				String id = version + "-" + i;
				this.directory
					.put(new EndpointRecord(id, "pool", "10.0.0.1:" + (80 + i), "a", 8, false, 0, 1, 1, version), 0);
				endpoints.add(this.directory.find(id).orElseThrow());
			}
			return endpoints;
		}

		@Test
		void callsThatHangCountAsSlowBeforeTheyEnd() {
			VersionSplit split = VersionSplitTests.this.split;
			Endpoint old = endpoints("v1", 1).get(0);
			Endpoint updated = endpoints("v2", 1).get(0);
			for (int i = 0; i < 20; i++) {
				split.answered("route", old, false, 100, 10_000);
			}
			Object hanging = new Object();
			split.running(hanging, "route", updated, 1, 10_000);
			assertThat(split.report(10_240).routes().get("route").updated().bad()).isZero();
			assertThat(split.report(10_260).routes().get("route").updated().bad()).isEqualTo(1);
			split.givenUp(hanging, 11_000);
			split.ended(hanging, true);
			assertThat(split.report(11_000).routes().get("route").updated().bad()).isEqualTo(1);
		}

		@Test
		void oldEndpointsGetNothingOnceTheRolloutIsComplete() {
			VersionSplit split = VersionSplitTests.this.split;
			split.follow(new RolloutStep(7, 6, RolloutPhase.FULL, 1, RolloutState.COMPLETE), 0);
			assertThat(split.candidates(endpoints("v1", 3), split.sendsToUpdated("a", 1), 1)).isEmpty();
		}

		@Test
		void newEndpointsGetNothingInPlaceOfMissingOldOnes() {
			assertThat(VersionSplitTests.this.split.candidates(endpoints("v2", 3), false, 1)).isEmpty();
		}

		@Test
		void endpointsOfAConcentratedShareTakeTurns() {
			VersionSplit split = VersionSplitTests.this.split;
			split.follow(step(2, RolloutPhase.OBSERVATION, 0.05), 0);
			List<Endpoint> available = endpoints("v1", 12);
			available.addAll(endpoints("v2", 12));
			List<Endpoint> first = split.candidates(available, true, 100);
			List<Endpoint> second = split.candidates(available, true, 2_100);
			assertThat(first).hasSize(1).allMatch(split::isUpdated);
			assertThat(second).hasSize(1).isNotEqualTo(first);
		}

	}

}
