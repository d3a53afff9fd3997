package org.fulmargap.entry;

import java.io.IOException;

import org.fulmargap.platform.standin.CallerWire;
import org.junit.jupiter.api.Test;

/**
 * Guards against VMs that read nothing any more while the store answers slowly.
 */
class SlowStoreTests {

	/** More than the timeout of a read that does not wait. */
	private static final long DELAY_MS = 1_500;

	@Test
	void aVersionIsInForceWhileTheStoreIsSlow() throws Exception {
		try (Installation installation = new Installation()) {
			installation.endpoint("core-1", "core");
			installation.vm("vm-0");
			installation.awaitReady();
			installation.store().answerDelayMs(DELAY_MS);
			// The open reads end and are repeated.
			Thread.sleep(2 * Installation.CONTACT_MS);
			installation.store()
				.put(CallerWire.OPERATOR_TOPIC, "config", CallerWire.CONFIG.formatted(2).replace("/push/", "/push2/"));
			Installation.await(() -> status(installation) == 200);
		}
	}

	private static int status(Installation installation) {
		try {
			return installation.send(installation.attempt(0, "/push2/x")).statusCode();
		}
		catch (IOException ex) {
			throw new AssertionError("the VM gave no answer", ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new AssertionError("interrupted", ex);
		}
	}

}
