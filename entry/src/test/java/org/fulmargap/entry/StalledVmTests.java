package org.fulmargap.entry;

import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.fulmargap.platform.standin.CallerWire;
import org.fulmargap.platform.standin.EndpointStandIn;
import org.fulmargap.platform.standin.StoreStandIn;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that reach an endpoint after their deadline or after their
 * caller has left, because they lay unread while the VM had no processor.
 */
class StalledVmTests {

	private static final int VM = 14;

	private static final int CALLERS = 20;

	private static final long STALL_MS = 1_200;

	private static final long SETTLE_MS = 500;

	@TempDir
	private Path directory;

	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void nothingIsSentTooLateAfterAStall(boolean keptConnections) throws Exception {
		try (StoreStandIn store = new StoreStandIn();
				EndpointStandIn endpoint = new EndpointStandIn("core-1");
				EntryProcess vm = new EntryProcess(VM, this.directory, store.address())) {
			store.put(CallerWire.OPERATOR_TOPIC, "config", CallerWire.CONFIG.formatted(1));
			store.put(CallerWire.ENDPOINT_TOPIC, "core-1", endpoint.record("core", "a", "ready"));
			Installation.await(vm::isReady);
			List<Socket> callers = new ArrayList<>();
			for (int i = 0; keptConnections && i < 3 * CALLERS; i++) {
				callers.add(connect(vm));
				send(callers.get(i), "before" + i, 5_000);
				assertThat(status(callers.get(i))).isEqualTo("200");
			}
			vm.signal("STOP");
			for (int i = 0; i < 3 * CALLERS; i++) {
				if (!keptConnections) {
					callers.add(connect(vm));
				}
				send(callers.get(i), List.of("late", "left", "intime").get(i % 3) + i, (i % 3 == 0) ? 335 : 5_000);
			}
			Thread.sleep(STALL_MS);
			for (int i = 1; i < 3 * CALLERS; i += 3) {
				callers.get(i).close();
			}
			vm.signal("CONT");
			for (int i = 0; i < 3 * CALLERS; i++) {
				if (i % 3 != 1) {
					assertThat(status(callers.get(i))).isEqualTo((i % 3 == 0) ? "503" : "200");
				}
			}
			Thread.sleep(SETTLE_MS);
			assertThat(endpoint.arrivalTimes()).extracting(EndpointStandIn.Arrival::attemptId)
				.noneMatch((id) -> id.startsWith("late") || id.startsWith("left"));
			assertThat(endpoint.requests().stream().filter(StalledVmTests::isInTime)).hasSize(CALLERS)
				.extracting((headers) -> Long.parseLong(headers.get(CallerWire.TIME_LEFT_MS.toLowerCase())))
				.allMatch((leftMs) -> leftMs <= 2_000);
		}
	}

	private static boolean isInTime(Map<String, String> headers) {
		return headers.get(CallerWire.ATTEMPT_ID.toLowerCase()).startsWith("intime");
	}

	private static Socket connect(EntryProcess vm) throws IOException {
		URI address = URI.create("http://" + vm.callerAddress());
		return new Socket(address.getHost(), address.getPort());
	}

	private static void send(Socket socket, String id, long leftMs) throws IOException {
		String request = "POST /push/x HTTP/1.1\r\nHost: 127.0.0.1\r\nAuthorization: Token good\r\n"
				+ CallerWire.ATTEMPT_ID + ": " + id + "\r\n" + CallerWire.TIME_LEFT_MS + ": " + leftMs
				+ "\r\nContent-Length: 2\r\n\r\n{}";
		socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
	}

	// Reads an answer whose body arrives with its head.
	private static String status(Socket socket) throws IOException {
		byte[] answer = new byte[4_096];
		int bytes = socket.getInputStream().read(answer);
		return new String(answer, 0, Math.max(0, bytes), StandardCharsets.US_ASCII).split(" ")[1];
	}

}
