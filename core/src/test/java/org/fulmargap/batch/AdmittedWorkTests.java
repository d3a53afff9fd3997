package org.fulmargap.batch;

import java.util.List;
import java.util.Map;

import org.fulmargap.catalog.StageCapacity;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link AdmittedWork} and {@link PipelineEstimate}.
 */
class AdmittedWorkTests {

	private final AdmittedWork work = new AdmittedWork();

	@Test
	void itemsOfAllVmsAreAheadOfANewRequest() {
		this.work.add("service", 0, 5);
		this.work.recordReport("peer", Map.of("service", new int[] { 1, 2, 0, 0 }), 0);
		assertThat(this.work.itemsAhead("service", 1, 10)).isEqualTo(8);
	}

	@Test
	void lessUrgentItemsAreNotAheadOfANewRequest() {
		this.work.add("service", 2, 5);
		assertThat(this.work.itemsAhead("service", 1, 0)).isZero();
		assertThat(this.work.itemsAhead("service", 9, 0)).isEqualTo(5);
	}

	@Test
	void anOldReportOfAPeerIsNotCounted() {
		this.work.recordReport("peer", Map.of("service", new int[] { 4, 0, 0, 0 }), 0);
		assertThat(this.work.itemsAhead("service", 0, 5_000)).isZero();
	}

	@Test
	void finishedItemsAreNotCounted() {
		this.work.add("service", 0, 5);
		this.work.remove("service", 0, 5);
		assertThat(this.work.itemsAhead("service", 0, 0)).isZero();
	}

	@Test
	void theEstimateIsTheQueueOfTheBottleneckAndOneCallForEachStage() {
		StageCapacity capacity = new StageCapacity(1, 2, 10, 200, 10, 1_000, 4_000);
		double stagesMs = PipelineEstimate.stagesMs(List.of(new PipelineEstimate.StageLoad(capacity, 2, 100, 1),
				new PipelineEstimate.StageLoad(capacity, 2, 40, 2)));
		// 100 work items at 2 endpoints, 10 in 300 ms each, and two calls of 250 ms.
		assertThat(stagesMs).isEqualTo(1_500 + 500);
	}

}
