package org.fulmargap.entry;

import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.fulmargap.platform.standin.CallerWire;
import org.fulmargap.platform.standin.RawEndpointStandIn;
import org.fulmargap.platform.standin.StoreStandIn;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a process that runs out of memory because callers don't take the large
 * answers that wait for them.
 */
class SlowCallersProcessTests {

	private static final int VM = 11;

	private static final int CALLERS = 24;

	private static final long GAP_MS = 300;

	private static final int ANSWER_BYTES = 5_000_000;

	private static final int RECEIVE_BUFFER_BYTES = 4_096;

	private static final String SMALL_PATH = "/push/small";

	@TempDir
	private Path directory;

	private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private EntryProcess vm;

	private int attempts;

	private static boolean answer(Socket socket, RawEndpointStandIn.Request request) throws IOException {
		if (request.path().equals(SMALL_PATH)) {
			return RawEndpointStandIn.answer(socket, request);
		}
		RawEndpointStandIn.write(socket,
				RawEndpointStandIn.head(request.attemptId(), "Content-Length: " + ANSWER_BYTES + "\r\n"));
		RawEndpointStandIn.write(socket, "x".repeat(ANSWER_BYTES));
		return true;
	}

	private Socket callerThatDoesNotRead() throws IOException {
		Socket socket = new Socket();
		socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
		socket.connect(TcpForwarder.address(this.vm.callerAddress()));
		String request = "POST /push/large HTTP/1.1\r\nHost: " + EntryProcess.ip(VM)
				+ "\r\nAuthorization: Token good\r\n" + CallerWire.ATTEMPT_ID + ": slow" + this.attempts++ + "\r\n"
				+ CallerWire.TIME_LEFT_MS + ": 8000\r\nContent-Length: 0\r\n\r\n";
		socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
		return socket;
	}

	private boolean isServing() {
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + this.vm.callerAddress() + SMALL_PATH))
			.header("Authorization", "Token good")
			.header(CallerWire.ATTEMPT_ID, "small" + this.attempts++)
			.header(CallerWire.TIME_LEFT_MS, "5000")
			.POST(HttpRequest.BodyPublishers.noBody())
			.build();
		return this.client.sendAsync(request, HttpResponse.BodyHandlers.discarding())
			.handle((response, ex) -> ex == null && response.statusCode() == 200)
			.join();
	}

	@Test
	void answersThatCallersDoNotTakeAreBounded() throws Exception {
		List<Socket> callers = new ArrayList<>();
		try (StoreStandIn store = new StoreStandIn();
				RawEndpointStandIn endpoint = new RawEndpointStandIn(SlowCallersProcessTests::answer)) {
			store.put(CallerWire.OPERATOR_TOPIC, "config",
					CallerWire.CONFIG.formatted(1).replace("127.0.0.1", EntryProcess.ip(VM)));
			store.put(CallerWire.ENDPOINT_TOPIC, "raw-1", endpoint.record("core"));
			this.vm = new EntryProcess(VM, this.directory, store.address());
			Installation.await(this::isServing);
			for (int i = 0; i < CALLERS; i++) {
				callers.add(callerThatDoesNotRead());
				Thread.sleep(GAP_MS);
			}
			assertThat(isServing()).isTrue();
			assertThat(this.vm.isAlive()).isTrue();
			assertThat(this.vm.logLines("event=caller_closed")).anyMatch((line) -> line.contains("reason=UNREAD"));
		}
		finally {
			for (Socket caller : callers) {
				caller.close();
			}
			this.vm.close();
		}
	}

}
