package org.fulmargap.entry;

import java.nio.file.Path;

import org.fulmargap.platform.standin.RawEndpointStandIn;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a process that ends because of a head of the store's answers.
 */
class OddStoreHeadProcessTests {

	private static final int VM = 12;

	private static final long PLAY_MS = 3_000;

	@TempDir
	private Path directory;

	@ParameterizedTest
	@ValueSource(strings = { "503 Unavailable\r\nRetry-After: 99999999999", "200 OK\r\nContent-Length: -5" })
	void aHeadWithANumberOutOfRangeEndsNoProcess(String head) throws Exception {
		RawEndpointStandIn.Handler handler = (socket, request) -> {
			RawEndpointStandIn.write(socket, "HTTP/1.1 " + head + "\r\n\r\nbody");
			return true;
		};
		try (RawEndpointStandIn store = new RawEndpointStandIn(handler);
				EntryProcess vm = new EntryProcess(VM, this.directory, store.address())) {
			Thread.sleep(PLAY_MS);
			assertThat(vm.isAlive()).isTrue();
			assertThat(vm.logLines("event=store_lost")).isNotEmpty();
			vm.signal("TERM");
			assertThat(vm.awaitExit()).isZero();
		}
	}

}
