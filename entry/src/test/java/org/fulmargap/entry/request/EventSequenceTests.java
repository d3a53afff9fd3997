package org.fulmargap.entry.request;

import org.fulmargap.platform.standin.ScriptedAnswers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against streams with missing, repeated or foreign events.
 */
class EventSequenceTests {

	private final EventSequence sequence = new EventSequence();

	private boolean accept(long id) {
		return this.sequence.accept("id: " + id + "\ndata: token\n\n");
	}

	@Test
	void idsMayNotDecreaseOrRepeat() {
		assertThat(accept(4)).isTrue();
		assertThat(accept(4)).isFalse();
		assertThat(accept(3)).isFalse();
		assertThat(accept(5)).isTrue();
		assertThat(this.sequence.lastEventId()).isEqualTo("5");
	}

	@Test
	void theNextAnswerMayNotRepeatOrSkipAnEvent() {
		accept(1);
		accept(2);
		this.sequence.continueWithNextAnswer();
		assertThat(accept(1)).isFalse();
		assertThat(accept(4)).isFalse();
		assertThat(accept(3)).isTrue();
		assertThat(accept(4)).isTrue();
	}

	@Test
	void theNextAnswerMaySkipIdsIfTheStreamHasGaps() {
		accept(1);
		accept(5);
		this.sequence.continueWithNextAnswer();
		assertThat(accept(5)).isFalse();
		assertThat(accept(8)).isTrue();
	}

	@Test
	void anAnswerThatBreaksBeforeItsFirstEventLeavesTheNextOneFree() {
		this.sequence.continueWithNextAnswer();
		assertThat(accept(7)).isTrue();
	}

	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n\r\n", "Retry-After: 1\r\n\r\n",
			"error\nid: 1\ndata: token\n\n", "{\"error\":1}\n\n", "data: token\n\n", "id:\ndata: token\n\n",
			"id: x\ndata: token\n\n", "id: -3\ndata: token\n\n" })
	void textWithoutIdOrWithOtherLinesIsNoEvent(String text) {
		assertThat(this.sequence.accept(text)).isFalse();
		assertThat(this.sequence.lastEventId()).isNull();
	}

	@ParameterizedTest
	@ValueSource(strings = { "id: 1\ndata: tok", "id: 1\ndata: a\ndata:", "id: 1\nevent: e", "id: 1\r\ndata: tok" })
	void anEventWithTheHeadOfAnotherAnswerIsNoEvent(String cutEvent) {
		String head = "HTTP/1.1 200 OK\r\n" + ScriptedAnswers.idHeader("1") + "Content-Length: 4\r\n\r\n";
		assertThat(this.sequence.accept(cutEvent + head)).isFalse();
	}

	@Test
	void dataMayQuoteTheHeadOfAnAnswer() {
		assertThat(this.sequence.accept("id: 1\ndata: HTTP/1.1 200 OK\ndata: Content-Length: 4\ndata\n\n")).isTrue();
	}

	@ParameterizedTest
	@ValueSource(strings = { "id: 1\r\ndata: token\r\n\r\n", "weight-versions: 2\nid: 1\ndata: token\n\n",
			"data: a\ndata\nid:1\n\n" })
	void theOrderOfFieldsAndTheLineEndDoNotMatter(String event) {
		assertThat(this.sequence.accept(event)).isTrue();
		assertThat(this.sequence.lastEventId()).isEqualTo("1");
	}

	@ParameterizedTest
	@ValueSource(strings = { "\n", "\r\n", ": comment\n\n" })
	void commentsNeedNoId(String text) {
		accept(1);
		assertThat(this.sequence.accept(text)).isTrue();
		assertThat(this.sequence.lastEventId()).isEqualTo("1");
	}

}
