package org.fulmargap.entry;

import java.util.Optional;
import java.util.OptionalInt;

import io.netty.channel.DefaultEventLoop;
import org.fulmargap.placement.AgedLoadNotice;
import org.fulmargap.placement.EndpointDirectory;
import org.fulmargap.placement.EndpointLoadNotice;
import org.fulmargap.placement.EndpointRecord;
import org.fulmargap.placement.LimitShares;
import org.fulmargap.platform.EndpointAnswer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that the load in an answer is recorded for the endpoint that sent it.
 */
class StatedLoadTests {

	private static final EndpointLoadNotice LOAD = new EndpointLoadNotice(1, 0, 1, OptionalInt.of(250));

	private final DefaultEventLoop loop = new DefaultEventLoop();

	private final EndpointDirectory directory = new EndpointDirectory();

	private final SetAsideEndpoints answers = new SetAsideEndpoints(this.loop, () -> 70, this.directory,
			LimitShares.WHOLE, new EntryMetrics());

	@AfterEach
	void stop() {
		this.loop.shutdownGracefully();
	}

	private EndpointRecord put(String id) {
		EndpointRecord record = new EndpointRecord(id, "service", "10.0.0.1:80", "a", 1, false, 0, 5);
		this.directory.put(record, 0);
		return record;
	}

	private static EndpointAnswer answerOf(String id) {
		return new EndpointAnswer(200, "", true, false, false, id, -1, -1, false, false, -1, -1, -1, Optional.of(LOAD));
	}

	@Test
	void theLoadOfAnotherEndpointAtTheAddressIsNotThatOfTheCalledOne() {
		EndpointRecord called = put("called");
		put("other");
		this.answers.headRead(called, answerOf("other"));
		assertThat(this.directory.find("called").orElseThrow().loadNotice()).isEmpty();
		assertThat(this.directory.find("other").orElseThrow().loadNotice()).contains(new AgedLoadNotice(LOAD, 70));
	}

	@Test
	void theLoadOfAnAnswerWithoutANameIsThatOfTheCalledEndpoint() {
		EndpointRecord called = put("called");
		this.answers.headRead(called, answerOf(""));
		assertThat(this.directory.find("called").orElseThrow().statedFactor(70)).isEqualTo(2.5);
	}

}
