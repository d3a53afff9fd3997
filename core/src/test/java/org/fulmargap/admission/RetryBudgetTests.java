package org.fulmargap.admission;

import java.util.List;
import java.util.Map;

import org.fulmargap.config.PipelineSpec;
import org.fulmargap.config.StageKind;
import org.fulmargap.config.StageSpec;
import org.fulmargap.request.Deadline;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against retry storms and against stages that use the time of later stages.
 */
class RetryBudgetTests {

	@Nested
	class Budget {

		@Test
		void allowsOneRetryPerTenFirstAttemptsOnceTheBudgetIsEmpty() {
			RetryBudget budget = new RetryBudget();
			int retries = 0;
			for (int i = 0; i < 1_000; i++) {
				budget.recordFirstAttempt("generate");
				retries += budget.tryRetry("generate", 1) ? 1 : 0;
			}
			assertThat(retries).isBetween(100, 110);
		}

		@Test
		void holdsNoMoreThanTenRetries() {
			RetryBudget budget = new RetryBudget();
			for (int i = 0; i < 1_000; i++) {
				budget.recordFirstAttempt("generate");
			}
			for (int i = 0; i < 10; i++) {
				assertThat(budget.tryRetry("generate", 1)).isTrue();
			}
			assertThat(budget.tryRetry("generate", 1)).isFalse();
		}

		@Test
		void refusesTheFourthAttemptAndKeepsServicesApart() {
			RetryBudget budget = new RetryBudget();
			assertThat(budget.tryRetry("encode", 3)).isFalse();
			for (int i = 0; i < 10; i++) {
				budget.tryRetry("generate", 1);
			}
			assertThat(budget.tryRetry("encode", 2)).isTrue();
		}

	}

	@Nested
	class Budgets {

		private final PipelineSpec pipeline = new PipelineSpec(true, 5_000,
				List.of(new StageSpec("e", StageKind.ENCODE, "encode", 0),
						new StageSpec("g", StageKind.GENERATE, "generate", 64)));

		private final StageBudgets budgets = new StageBudgets(Map.of("encode", 20L, "generate", 980L)::get);

		@Test
		void leavesTheExpectedTimeOfLaterStages() {
			Deadline deadline = new Deadline(3_000);
			assertThat(this.budgets.limitMs(this.pipeline, 0, deadline, 1_000)).isEqualTo(1_020);
			assertThat(this.budgets.limitMs(this.pipeline, 1, deadline, 1_000)).isEqualTo(2_000);
			assertThat(this.budgets.limitMs(this.pipeline, 0, deadline, 2_500)).isZero();
		}

		@Test
		void derivesSlotsFromTheStageThatIsOccupiedLongest() {
			int slots = this.budgets.slots(this.pipeline, Map.of("encode", 2, "generate", 10)::get);
			assertThat(slots).isEqualTo(10 * 1_000 / 980 + 1);
		}

	}

}
