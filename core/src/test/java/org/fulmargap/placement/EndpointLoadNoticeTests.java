package org.fulmargap.placement;

import java.util.OptionalInt;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that the load stated by an endpoint is that of its current process.
 */
class EndpointLoadNoticeTests {

	private static final EndpointLoadNotice LOAD = new EndpointLoadNotice(2, 0, 8, OptionalInt.of(250));

	private final EndpointDirectory directory = new EndpointDirectory();

	private static EndpointRecord startedAt(long startedAtMs) {
		return new EndpointRecord("one", "service", "10.0.0.1:80", "a", 8, false, 0, startedAtMs);
	}

	private Endpoint endpoint() {
		return this.directory.find("one").orElseThrow();
	}

	@Test
	void theLoadOfAnEarlierProcessIsNotThatOfTheNextOne() {
		this.directory.put(startedAt(1), 0);
		this.directory.recordLoad(new EndpointProcess("one", 1), LOAD, 40);
		assertThat(endpoint().loadNotice()).contains(new AgedLoadNotice(LOAD, 40));
		this.directory.put(startedAt(2), 50);
		assertThat(endpoint().loadNotice()).isEmpty();
		this.directory.recordLoad(new EndpointProcess("one", 1), LOAD, 60);
		assertThat(endpoint().loadNotice()).isEmpty();
	}

}
