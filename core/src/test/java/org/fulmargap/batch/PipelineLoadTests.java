package org.fulmargap.batch;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks how many pipeline requests are answered in time under the loads of the users'
 * data sheets, with seven entry VMs and requests that arrive in groups.
 */
class PipelineLoadTests {

	private static final long ARRIVALS_MS = 40_000;

	private static final long HEARTBEAT_MS = 250;

	/** The required share of the requests that the capacity allows to be in time. */
	private static final double MIN_SHARE = 0.95;

	/**
	 * About sixteen requests a second arrive on average. The four endpoints of
	 * {@code chain-sync} can do 30.5 a second with full batches.
	 */
	@Nested
	class ThreeStages {

		private static final double AVERAGE = 16.3;

		private static final double CAPACITY = 30.5;

		private PipelineLoad run(double requestsPerSecond) {
			return PipelineLoad.threeStages(true, HEARTBEAT_MS, ARRIVALS_MS).run(requestsPerSecond);
		}

		@Test
		void requestsAtTheAverageRateAreServedInTime() {
			assertThat(run(AVERAGE).inTimeShare()).isGreaterThan(MIN_SHARE);
		}

		@Test
		void requestsAtOneAndAHalfTimesTheAverageRateAreServedInTime() {
			assertThat(run(1.5 * AVERAGE).inTimeShare()).isGreaterThan(MIN_SHARE);
		}

		@Test
		void inABurstAsManyRequestsAsTheCapacityAllowsAreServedInTime() {
			double bound = CAPACITY / (2.5 * AVERAGE);
			assertThat(run(2.5 * AVERAGE).inTimeShare()).isGreaterThan(MIN_SHARE * bound);
		}

		@Test
		void moreRequestsAreServedInTimeIfReadInputsAreEvictable() {
			double withoutEviction = PipelineLoad.threeStages(false, HEARTBEAT_MS, ARRIVALS_MS).run(27).inTimeShare();
			assertThat(run(27).inTimeShare()).isGreaterThan(withoutEviction);
		}

		@Test
		void largeInputsMostlyStayInTheirFailureDomain() {
			// If domains were ignored, 5 of 8 work items would read remote inputs.
			assertThat(run(AVERAGE).remoteShare()).isLessThan(0.1);
		}

	}

	/** Three endpoints can do 22.8 requests a second with full batches. */
	@Nested
	class OneStage {

		private PipelineLoad run(double requestsPerSecond) {
			return PipelineLoad.oneStage(HEARTBEAT_MS, ARRIVALS_MS).run(requestsPerSecond);
		}

		@Test
		void requestsAtTheAverageRateAreServedInTime() {
			assertThat(run(14).inTimeShare()).isGreaterThan(MIN_SHARE);
		}

		@Test
		void requestsBeyondTheCapacityAreRefusedAndDoNotMakeOthersLate() {
			PipelineLoad load = run(28);
			double late = 1 - load.inTimeShare() - load.refusedShare();
			assertThat(load.inTimeShare()).isGreaterThan(0.7);
			assertThat(late).isLessThan(1 - MIN_SHARE);
		}

	}

}
