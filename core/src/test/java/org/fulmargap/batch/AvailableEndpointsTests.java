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
	void theCoordinatorKnowsBest() {
		this.endpoints.recordReport("in-charge", Map.of("stage", 1.5), 0);
		this.endpoints.recordReport("other", Map.of("stage", 4.0), 0);
		assertThat(this.endpoints.count("stage", "in-charge", 4, 100)).isEqualTo(1.5);
	}

	@Test
	void withoutAFreshReportTheListCounts() {
		this.endpoints.recordReport("in-charge", Map.of("stage", 1.5), 0);
		assertThat(this.endpoints.count("stage", "in-charge", 4, 5_000)).isEqualTo(4);
		assertThat(this.endpoints.count("other stage", "in-charge", 3, 100)).isEqualTo(3);
		assertThat(this.endpoints.count("stage", "unheard", 3, 100)).isEqualTo(3);
	}

	@Test
	void endpointsThatLeftDoNotCount() {
		this.endpoints.recordReport("in-charge", Map.of("stage", 4.0), 0);
		assertThat(this.endpoints.count("stage", "in-charge", 3, 100)).isEqualTo(3);
	}

}
