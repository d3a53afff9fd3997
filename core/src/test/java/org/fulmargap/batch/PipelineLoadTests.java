package org.fulmargap.batch;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks what callers of pipelines get under the loads of the users' sheets, with seven
 * entry VMs and requests that come in clumps.
 */
class PipelineLoadTests {

	private static final long PLAY_MS = 40_000;

	private static final long HEARTBEAT_MS = 250;

	/** The aim: within 5% of what the capacity allows. */
	private static final double AIM = 0.95;

	/**
	 * Sixteen requests a second on average; four endpoints of {@code chain-sync} do 30.5
	 * if all their calls are full.
	 */
	@Nested
	class ThreeStages {

		private static final double AVERAGE = 16.3;

		private static final double CAPACITY = 30.5;

		private PipelineLoad play(double requestsPerSecond) {
			return PipelineLoad.deep(true, HEARTBEAT_MS, PLAY_MS).play(requestsPerSecond);
		}

		@Test
		void allAreServedInTimeOnAnAverageDay() {
			assertThat(play(AVERAGE).inTimeShare()).isGreaterThan(AIM);
		}

		@Test
		void allAreServedInTimeAtOneAndAHalfTimesTheAverage() {
			assertThat(play(1.5 * AVERAGE).inTimeShare()).isGreaterThan(AIM);
		}

		@Test
		void asManyAsTheCapacityAllowsAreServedInTimeInABurst() {
			double bound = CAPACITY / (2.5 * AVERAGE);
			assertThat(play(2.5 * AVERAGE).inTimeShare()).isGreaterThan(AIM * bound);
		}

		@Test
		void inputsThatAreGivenUpOnceTheyAreReadLetMoreBeServed() {
			double keeping = PipelineLoad.deep(false, HEARTBEAT_MS, PLAY_MS).play(27).inTimeShare();
			assertThat(play(27).inTimeShare()).isGreaterThan(keeping);
		}

		@Test
		void largeInputsMostlyStayInTheirFailureDomain() {
			// Without regard to domains, 5 of 8 work items would read their inputs from
			// another one.
			assertThat(play(AVERAGE).remoteShare()).isLessThan(0.1);
		}

	}

	/** Three endpoints do 22.8 requests a second if all their calls are full. */
	@Nested
	class OneStage {

		private PipelineLoad play(double requestsPerSecond) {
			return PipelineLoad.shallow(HEARTBEAT_MS, PLAY_MS).play(requestsPerSecond);
		}

		@Test
		void allAreServedInTimeOnAnAverageDay() {
			assertThat(play(14).inTimeShare()).isGreaterThan(AIM);
		}

		@Test
		void whatCannotBeInTimeIsRefusedInsteadOfMakingOthersLate() {
			PipelineLoad load = play(28);
			double late = 1 - load.inTimeShare() - load.refusedShare();
			assertThat(load.inTimeShare()).isGreaterThan(0.7);
			assertThat(late).isLessThan(1 - AIM);
		}

	}

}
