package org.fulmargap.request;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Guards against an ambiguous text form, with which an answer could be matched to the
 * wrong attempt.
 */
class AttemptIdTests {

	@Nested
	class Parsing {

		@Test
		void parsesTheTextFormOfAnIdentity() {
			AttemptId id = new AttemptId("vm1-7", 42, 2, 1);
			assertThat(AttemptId.parse(id.toString())).isEqualTo(id);
		}

		@Test
		void rejectsTextWithMissingParts() {
			assertThatIllegalArgumentException().isThrownBy(() -> AttemptId.parse("vm1-7/42/2"));
		}

		@Test
		void rejectsAnIncarnationThatContainsTheSeparator() {
			assertThatIllegalArgumentException().isThrownBy(() -> new AttemptId("vm/1", 1, 0, 0));
		}

	}

}
