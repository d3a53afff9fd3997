package org.fulmargap.standin;

import java.util.concurrent.atomic.AtomicReference;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against one-shot faults that act while the previous faults are still active: a
 * released run would be held again.
 */
class FaultSettingsTests {

	@Test
	void oneShotFaultsActAfterTheNewFaultsAreActive() {
		FaultSettings<String> faults = new FaultSettings<>(String.class, "none");
		AtomicReference<String> seen = new AtomicReference<>();
		faults.replace("slow", (updated) -> seen.set(faults.current()), String::toUpperCase);
		assertThat(seen.get()).isEqualTo("SLOW");
	}

}
