package org.fulmargap.entry;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against texts of others that add lines or fields to the log, or make a line very
 * long.
 */
class EventLogTests {

	@Test
	void aValueWithControlCharactersStaysOneField() {
		for (String text : List.of("a\nb", "a\rb", "a\tb", "a\u001b[2Jb", "a\u0085b", "a\u2028b", "a\u2029b",
				"a\u202eb")) {
			assertThat(EventLog.state("test").with("key", text).toString()).matches("event=test key=\"a \\S*b\"");
		}
	}

	@Test
	void aValueThatLooksLikeOtherFieldsIsQuoted() {
		assertThat(EventLog.state("test").with("key", "a event=stopped").toString())
			.isEqualTo("event=test key=\"a event=stopped\"");
		assertThat(EventLog.state("test").with("key", "\"a\"").toString()).isEqualTo("event=test key=\"'a'\"");
		assertThat(EventLog.state("test").with("key", "").toString()).isEqualTo("event=test key=\"\"");
	}

	@Test
	void aBackslashDoesNotHideTheEndOfAValue() {
		assertThat(EventLog.state("test").with("key", "a b\\").with("next", 1).toString())
			.isEqualTo("event=test key=\"a b\\\\\" next=1");
	}

	@Test
	void aLongValueIsCut() {
		assertThat(EventLog.state("test").with("key", "x".repeat(1_000_000)).toString()).hasSizeLessThan(1_000);
	}

}
