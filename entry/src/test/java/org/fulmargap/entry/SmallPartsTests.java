package org.fulmargap.entry;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;

import org.fulmargap.platform.standin.CallerWire;
import org.fulmargap.platform.standin.RawEndpointStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a VM that stands still because endpoints send answers in very many small
 * parts: each part costs the event loop far more than its size.
 */
class SmallPartsTests {

	private final AtomicInteger results = new AtomicInteger();

	private Installation installation;

	@BeforeEach
	void start() throws Exception {
		this.installation = new Installation();
	}

	@AfterEach
	void stop() {
		this.installation.close();
	}

	private void startVm(String service, RawEndpointStandIn endpoint) throws Exception {
		this.installation.store().put(CallerWire.ENDPOINT_TOPIC, "raw-1", endpoint.record(service));
		this.installation.vm("vm-0");
		this.installation.awaitReady();
	}

	private static boolean writeSmallParts(Socket socket, String id, String headers, String body) throws IOException {
		RawEndpointStandIn.write(socket, RawEndpointStandIn.head(id, headers + "Transfer-Encoding: chunked\r\n"));
		StringBuilder chunks = new StringBuilder();
		body.chars().forEach((character) -> chunks.append("1\r\n").append((char) character).append("\r\n"));
		RawEndpointStandIn.write(socket, chunks + "0\r\n\r\n");
		return true;
	}

	@ParameterizedTest
	@CsvSource({ "9000,200", "15000,502" })
	void anAnswerToAnotherCallIsSkippedUpToALimit(int parts, int status) throws Exception {
		RawEndpointStandIn.Handler handler = (socket,
				request) -> writeSmallParts(socket, "foreign", "", "x".repeat(parts))
						&& RawEndpointStandIn.answer(socket, request);
		try (RawEndpointStandIn endpoint = new RawEndpointStandIn(handler)) {
			startVm("core", endpoint);
			assertThat(this.installation.send(this.installation.attempt(0, "/push/x")).statusCode()).isEqualTo(status);
		}
	}

	@ParameterizedTest
	@CsvSource({ "9000,200", "15000,502" })
	void anEventIsReadUpToALimit(int parts, int status) throws Exception {
		RawEndpointStandIn.Handler handler = (socket, request) -> writeSmallParts(socket, request.attemptId(),
				"Content-Type: text/event-stream\r\n", "id: 0\ndata: " + "x".repeat(parts) + "\n\n");
		try (RawEndpointStandIn endpoint = new RawEndpointStandIn(handler)) {
			startVm("pool", endpoint);
			assertThat(this.installation.send(this.installation.attempt(0, "/stream/x")).statusCode())
				.isEqualTo(status);
		}
	}

	@ParameterizedTest
	@CsvSource({ "9000,200", "15000,503" })
	void aStageAnswerIsReadUpToALimit(int parts, int status) throws Exception {
		RawEndpointStandIn.Handler handler = (socket, request) -> writeSmallParts(socket, "", "",
				stageAnswer(request, " ".repeat(parts)));
		try (RawEndpointStandIn endpoint = new RawEndpointStandIn(handler)) {
			this.installation.endpoint("pool-1", "pool");
			startVm("stage", endpoint);
			assertThat(this.installation.send(this.installation.pipeline(0)).statusCode()).isEqualTo(status);
		}
	}

	private String stageAnswer(RawEndpointStandIn.Request request, String filler) {
		int items = request.body().split("\"id\"").length - 1;
		if (items == 0) {
			return "{}";
		}
		StringBuilder handles = new StringBuilder();
		for (int i = 0; i < items; i++) {
			handles.append((i > 0) ? "," : "")
				.append("{\"handle\":\"127.0.0.1:1/")
				.append(this.results.incrementAndGet())
				.append("\"}");
		}
		return "{\"items\":[" + filler + handles + "]}";
	}

}
