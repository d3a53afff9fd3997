package org.fulmargap.entry;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;

import org.fulmargap.platform.KeyedRecord;
import org.fulmargap.routing.PromptPartQuarantine;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against prompt parts that are refused for too long because the clock of the VM
 * that wrote the record was ahead.
 */
class QuarantineClockTests {

	private static final long NOW_MS = 1_000;

	private static final long DAY_MS = 86_400_000;

	private final PromptPartQuarantine quarantine = new PromptPartQuarantine();

	private void apply(long sinceMs, long untilMs) {
		long epochMs = System.currentTimeMillis();
		String times = (epochMs + sinceMs) + " " + (epochMs + untilMs);
		new QuarantineSync(null, null, () -> NOW_MS, this.quarantine, null)
			.apply(List.of(new KeyedRecord("part", times.getBytes(StandardCharsets.UTF_8), 0)));
	}

	@Test
	void aRecordFromAClockAheadIsNotInForceForLongerThanOthers() {
		apply(DAY_MS, DAY_MS + PromptPartQuarantine.LIFETIME_MS);
		assertThat(this.quarantine.verdicts(NOW_MS)).hasSize(1);
		assertThat(this.quarantine.verdicts(NOW_MS + PromptPartQuarantine.LIFETIME_MS)).isEmpty();
	}

	@Test
	void anAnswerEndsARecordFromAClockAhead() {
		apply(DAY_MS, DAY_MS + PromptPartQuarantine.LIFETIME_MS);
		this.quarantine.answered(Set.of("part"), NOW_MS + 1, NOW_MS + 1);
		assertThat(this.quarantine.mustRefuse(Set.of("part"), NOW_MS + 1)).isFalse();
	}

}
