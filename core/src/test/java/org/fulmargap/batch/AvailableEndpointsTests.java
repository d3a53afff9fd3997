package org.fulmargap.batch;

import java.util.Map;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link AvailableEndpoints}.
 */
class AvailableEndpointsTests {

	private final AvailableEndpoints endpoints = new AvailableEndpoints();

	@Test
	void onlyTheReportOfTheCoordinatorCounts() {
		this.endpoints.recordReport("coordinator", Map.of("stage", 1.5), 0);
		this.endpoints.recordReport("other", Map.of("stage", 4.0), 0);
		assertThat(this.endpoints.count("stage", "coordinator", 4, 100)).isEqualTo(1.5);
	}

	@Test
	void withoutAValidReportTheListedEndpointsCount() {
		this.endpoints.recordReport("coordinator", Map.of("stage", 1.5), 0);
		assertThat(this.endpoints.count("stage", "coordinator", 4, 5_000)).isEqualTo(4);
		assertThat(this.endpoints.count("other stage", "coordinator", 3, 100)).isEqualTo(3);
		assertThat(this.endpoints.count("stage", "unknown", 3, 100)).isEqualTo(3);
	}

	@Test
	void endpointsThatAreNoLongerListedDoNotCount() {
		this.endpoints.recordReport("coordinator", Map.of("stage", 4.0), 0);
		assertThat(this.endpoints.count("stage", "coordinator", 3, 100)).isEqualTo(3);
	}

}
