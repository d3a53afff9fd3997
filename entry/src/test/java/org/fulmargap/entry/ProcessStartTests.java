package org.fulmargap.entry;

import java.io.IOException;
import java.nio.file.Path;

import org.fulmargap.platform.standin.StoreStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the start of an entry VM in a separate process.
 */
class ProcessStartTests {

	private static final int VM = 1;

	@TempDir
	private Path directory;

	private StoreStandIn store;

	@BeforeEach
	void openStore() throws IOException {
		this.store = new StoreStandIn();
	}

	@AfterEach
	void closeStore() {
		this.store.close();
	}

	private EntryProcess start() throws IOException {
		return new EntryProcess(VM, this.directory, this.store.address());
	}

	private static void awaitLine(EntryProcess vm, String text) throws InterruptedException {
		Installation.await(() -> hasLine(vm, text));
	}

	private static boolean hasLine(EntryProcess vm, String text) {
		try {
			return !vm.logLines(text).isEmpty();
		}
		catch (IOException ex) {
			return false;
		}
	}

	/**
	 * Guards against processes that end without a line that says why.
	 */
	@Nested
	class LastLines {

		@Test
		void theFirstAndTheLastLineOfAProcessNameItsLimitsAndItsEnd() throws Exception {
			try (EntryProcess vm = start()) {
				awaitLine(vm, "event=process_started pid=");
				awaitLine(vm, "event=started");
				vm.signal("TERM");
				assertThat(vm.awaitExit()).isZero();
				assertThat(vm.logLines("event=signal signal=TERM")).hasSize(1);
				assertThat(vm.logLines("event=exit reason=\"drained after TERM\" code=0")).hasSize(1);
			}
		}

	}

}
