package org.fulmargap.fleet;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Guards against records of another writer that count as entry VMs.
 */
class FleetMemberTests {

	@Test
	void theTextOfAMemberIsParsed() {
		FleetMember member = new FleetMember("vm-1", "10.1.0.41:7740", "a", 1.5);
		assertThat(FleetMember.parse("vm-1", member.toText())).isEqualTo(member);
	}

	@Test
	void aTextThatNamesNoMemberIsRefused() {
		for (String text : List.of("", " ", "10.0.0.1:0 a 1", "10.0.0.1:65536 a 1", "10.0.0.1:99999 a 1",
				"999.0.0.1:80 a 1", "1:80 a 1", "...:80 a 1", "10.0.0.1:80 a NaN", "10.0.0.1:80 a Infinity",
				"10.0.0.1:80 a -1", "10.0.0.1:80 a 1e400", "10.0.0.1:80 a 1e9", "10.0.0.1:80 a x", "10.0.0.1:80 a 1 b",
				"10.0.0.1:80 a", "10.0.0.1:80  1", "10.0.0.1:80 \u001b 1", "10.0.0.1:80 " + "a".repeat(200_000) + " 1",
				"x".repeat(200_000))) {
			assertThatIllegalArgumentException().as(text.substring(0, Math.min(30, text.length())))
				.isThrownBy(() -> FleetMember.parse("vm-1", text))
				.satisfies((ex) -> assertThat(ex.getMessage()).hasSizeLessThan(200));
		}
	}

}
