package org.fulmargap.entry;

import java.util.Optional;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against VMs that neither read the store nor get its records from a hub.
 */
class RecordSourceTests {

	private static final Optional<String> HUB = Optional.of("vm-1");

	private final RecordSource source = new RecordSource(0);

	@Test
	void aHubReadsTheStore() {
		this.source.update(true, HUB, 0);
		assertThat(this.source.isStore()).isTrue();
	}

	@Test
	void aVmWhoseHubIsLostReadsTheStoreSoon() {
		this.source.update(false, HUB, 0);
		assertThat(this.source.isStore()).isFalse();
		this.source.update(false, Optional.empty(), 999);
		assertThat(this.source.isStore()).isFalse();
		this.source.update(false, Optional.empty(), 1_000);
		assertThat(this.source.isStore()).isTrue();
	}

	@Test
	void aVmWhoseHubHasMissedThatTheStoreWasRestoredReadsTheStore() {
		this.source.update(false, HUB, 0);
		this.source.peerCompared("vm-1", true);
		this.source.update(false, HUB, 1_000);
		assertThat(this.source.isStore()).isTrue();
		this.source.peerCompared("vm-1", false);
		this.source.update(false, HUB, 1_250);
		assertThat(this.source.isStore()).isFalse();
	}

}
