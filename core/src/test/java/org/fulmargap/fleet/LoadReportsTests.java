package org.fulmargap.fleet;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.fulmargap.placement.EndpointProcess;
import org.fulmargap.placement.NamedLimit;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link LoadReports}.
 */
class LoadReportsTests {

	private final LoadReports reports = new LoadReports();

	private static LoadReport report(String endpoint, int inFlight) {
		return new LoadReport(Map.of(endpoint, new EndpointLoad(inFlight, 10L * inFlight)),
				Map.of("stage", new int[] { inFlight, 0 }), Map.of("vm-" + inFlight, Map.of("stage", 2.0)),
				Set.of(new EndpointProcess(endpoint, inFlight)),
				Map.of(new EndpointProcess(endpoint, 1), new NamedLimit(inFlight, inFlight)));
	}

	@Test
	void reportsOfTheGivenVmsAreAddedUp() {
		this.reports.put("a", report("e", 1), 0);
		this.reports.put("b", report("e", 2), 0);
		this.reports.put("c", report("e", 4), 0);
		LoadReport sum = this.reports.sum(report("e", 8), List.of("a", "c"), 100);
		assertThat(sum.loads()).containsExactly(Map.entry("e", new EndpointLoad(13, 130)));
		assertThat(sum.admittedItems().get("stage")).containsExactly(13, 0);
		assertThat(sum.availableEndpoints()).containsOnlyKeys("vm-1", "vm-4", "vm-8");
		assertThat(sum.leaving()).extracting(EndpointProcess::startedAtMs).containsExactlyInAnyOrder(1L, 4L, 8L);
		assertThat(sum.limits()).isEqualTo(Map.of(new EndpointProcess("e", 1), new NamedLimit(8, 8)));
	}

	@Test
	void oldAndRemovedReportsAreLeftOut() {
		this.reports.put("a", report("e", 1), 0);
		this.reports.put("b", report("e", 2), 1_000);
		this.reports.put("c", report("e", 4), 1_000);
		assertThat(this.reports.remove("c")).isTrue();
		LoadReport sum = this.reports.sum(LoadReport.NONE, this.reports.vms(), 1_500);
		assertThat(sum.loads()).containsExactly(Map.entry("e", new EndpointLoad(2, 20)));
	}

	@Test
	void theSumDoesNotChangeTheReports() {
		this.reports.put("a", report("e", 1), 0);
		LoadReport own = report("e", 2);
		this.reports.sum(own, List.of("a"), 0);
		assertThat(own.admittedItems().get("stage")).containsExactly(2, 0);
		assertThat(this.reports.sum(LoadReport.NONE, List.of("a"), 0).loads()).containsEntry("e",
				new EndpointLoad(1, 10));
	}

}
