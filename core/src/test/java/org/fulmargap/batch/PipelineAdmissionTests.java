package org.fulmargap.batch;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link PipelineAdmission}.
 */
class PipelineAdmissionTests {

	private static final long OBJECTIVE_MS = 1_000;

	private static final long MAX_WAIT_MS = 4_000;

	private static final double UNLOADED_MS = 300;

	private static PipelineAdmission.Decision decide(double stagesMs, double promptMs, long maxWaitMs) {
		return PipelineAdmission.decide(new PipelineAdmission.ExpectedTimes(stagesMs, UNLOADED_MS, promptMs),
				OBJECTIVE_MS, maxWaitMs);
	}

	@Test
	void aRequestThatCanBeInTimeIsAdmitted() {
		assertThat(decide(850, 0, MAX_WAIT_MS).admitted()).isTrue();
	}

	@Test
	void aRequestBehindALongQueueIsRefusedWithTheTimeUntilTheQueueIsShortEnough() {
		PipelineAdmission.Decision decision = decide(2_600, 0, MAX_WAIT_MS);
		assertThat(decision.admitted()).isFalse();
		assertThat(decision.retryAfterMs()).isEqualTo(1_600);
	}

	@Test
	void stagesThatExceedTheObjectiveAreRefusedOnlyUnderLoad() {
		PipelineAdmission.ExpectedTimes unloaded = new PipelineAdmission.ExpectedTimes(1_100, 1_100, 0);
		assertThat(PipelineAdmission.decide(unloaded, OBJECTIVE_MS, MAX_WAIT_MS).admitted()).isTrue();
		PipelineAdmission.ExpectedTimes loaded = new PipelineAdmission.ExpectedTimes(1_300, 1_100, 0);
		assertThat(PipelineAdmission.decide(loaded, OBJECTIVE_MS, MAX_WAIT_MS).admitted()).isFalse();
	}

	@Test
	void aLongPromptWithinTheMaxWaitIsAdmitted() {
		assertThat(decide(500, 1_200, MAX_WAIT_MS).admitted()).isTrue();
	}

	@Test
	void aRequestThatWouldExceedTheMaxWaitIsRefused() {
		assertThat(decide(800, 300, 1_000).admitted()).isFalse();
	}

}
