package org.fulmargap.entry;

import java.io.IOException;

import org.fulmargap.fleet.FleetMember;
import org.fulmargap.platform.StoreClient;
import org.fulmargap.platform.standin.StoreStandIn;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a VM that uses up the calls to the store that all VMs share, when its
 * writes are acknowledged in an older history than the one that its peers know.
 */
class MemberRegistrationTests {

	private static final int STORE_HISTORY = 1;

	@Test
	@Timeout(20)
	void anAddressThatIsWrittenInAnOlderHistoryIsWrittenAgainAfterAPause() throws IOException, InterruptedException {
		try (StoreStandIn store = new StoreStandIn(); StoreClient client = new StoreClient(store.address())) {
			MemberRegistration registration = new MemberRegistration(client,
					new FleetMember("vm-1", "127.0.0.1:1", "a", 1));
			registration.historyKnown(STORE_HISTORY + 1);
			Thread thread = new Thread(registration);
			thread.start();
			Thread.sleep(1_200);
			thread.interrupt();
			thread.join();
			assertThat(store.calls()).isBetween(2, 3);
		}
	}

}
