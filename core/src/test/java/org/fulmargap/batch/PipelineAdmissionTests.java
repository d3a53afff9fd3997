package org.fulmargap.batch;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link PipelineAdmission}.
 */
class PipelineAdmissionTests {

	private static final long OBJECTIVE_MS = 1_000;

	private static final long PATIENCE_MS = 4_000;

	@Test
	void aRequestThatCanBeInTimeIsTaken() {
		assertThat(PipelineAdmission.decide(900, OBJECTIVE_MS, PATIENCE_MS).admitted()).isTrue();
	}

	@Test
	void aNewRequestBehindALongQueueIsRefusedAtOnceAndAskedBackWhenTheQueueIsShort() {
		PipelineAdmission.Decision decision = PipelineAdmission.decide(2_600, OBJECTIVE_MS, PATIENCE_MS);
		assertThat(decision.admitted()).isFalse();
		assertThat(decision.returnAfterMs()).isEqualTo(1_600);
	}

	@Test
	void nobodyIsTakenWhoWouldLeaveBeforeTheAnswer() {
		assertThat(PipelineAdmission.decide(950, OBJECTIVE_MS, 1_000).admitted()).isFalse();
	}

}
