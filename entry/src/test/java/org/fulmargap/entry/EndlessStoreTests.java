package org.fulmargap.entry;

import java.nio.file.Path;

import org.fulmargap.platform.standin.RawEndpointStandIn;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a process that runs out of memory when the store answers without end.
 */
class EndlessStoreTests {

	private static final int VM = 10;

	private static final long PLAY_MS = 6_000;

	private static final int LISTING_BYTES = 4_000_000;

	@TempDir
	private Path directory;

	@ParameterizedTest
	@EnumSource(names = { "ENDLESS_BODY", "HUGE_LENGTH", "ENDLESS_HEAD" })
	void aStoreThatAnswersWithoutEndEndsNoProcess(RawEndpointStandIn.Answer answer) throws Exception {
		try (RawEndpointStandIn store = new RawEndpointStandIn(answer);
				EntryProcess vm = new EntryProcess(VM, this.directory, store.address())) {
			Thread.sleep(PLAY_MS);
			assertThat(vm.isAlive()).isTrue();
			vm.signal("TERM");
			assertThat(vm.awaitExit()).isZero();
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "{}", "{\"key\":\"k\",\"value\":\"\",\"offset\":1}" })
	void aListingOfManySmallItemsEndsNoProcess(String item) throws Exception {
		String body = "{\"truncated\":false,\"end\":9,\"items\":[" + (item + ',').repeat(LISTING_BYTES / item.length())
				+ item + "]}";
		RawEndpointStandIn.Handler handler = (socket, request) -> {
			RawEndpointStandIn.write(socket, RawEndpointStandIn.head("", "Content-Length: " + body.length() + "\r\n"));
			RawEndpointStandIn.write(socket, body);
			return true;
		};
		try (RawEndpointStandIn store = new RawEndpointStandIn(handler);
				EntryProcess vm = new EntryProcess(VM, this.directory, store.address())) {
			Thread.sleep(PLAY_MS);
			assertThat(vm.isAlive()).isTrue();
			assertThat(vm.logLines("event=store_lost")).isNotEmpty();
		}
	}

}
