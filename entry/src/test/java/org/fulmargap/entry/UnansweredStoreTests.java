package org.fulmargap.entry;

import org.fulmargap.platform.standin.CallerWire;
import org.fulmargap.platform.standin.StoreStandIn;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a VM that waits for the answer to a call which the store has dropped,
 * long after the store answers again, and so knows no newer configuration.
 */
class UnansweredStoreTests {

	/** A read of the configuration begins within this time after a change, in ms. */
	private static final long READ_BEGINS_MS = 500;

	/** From then on after a disturbance a VM is in touch ({@code contact-ms}). */
	private static final long CONTACT_MS = 3_000;

	/** The bound for a VM in touch ({@code config-apply-ms}). */
	private static final long APPLY_MS = 2_000;

	private static final long SLACK_MS = 100;

	@Test
	void aConfigurationIsInForceInTimeAfterTheStoreAnswersAgain() throws Exception {
		try (Installation installation = new Installation()) {
			installation.endpoint("core-1", "core");
			installation.vm("vm-1");
			installation.awaitReady();
			StoreStandIn store = installation.store();
			store.fault(StoreStandIn.Fault.SILENT);
			put(store, 2, "/read/");
			Thread.sleep(READ_BEGINS_MS);
			store.fault(StoreStandIn.Fault.NONE);
			Thread.sleep(CONTACT_MS - APPLY_MS);
			put(store, 3, "/fresh/");
			Thread.sleep(APPLY_MS + SLACK_MS);
			assertThat(installation.send(installation.attempt(0, "/fresh/x")).statusCode()).isEqualTo(200);
		}
	}

	private static void put(StoreStandIn store, int version, String path) {
		store.put(CallerWire.OPERATOR_TOPIC, "config", CallerWire.CONFIG.formatted(version).replace("/read/", path));
	}

}
