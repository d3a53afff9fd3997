package org.fulmargap.entry;

import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;

import org.fulmargap.platform.standin.CallerWire;
import org.fulmargap.platform.standin.RawEndpointStandIn;
import org.fulmargap.platform.standin.ScriptedAnswers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Guards against answers without a length that reach the caller as complete although
 * their connection ended while the request was still being written.
 */
class EarlyAnswerTests {

	/** More than the buffers of a connection hold, and less than the limit of bodies. */
	private static final String UPLOAD = "x".repeat(4_000_000);

	private static final String EVENT_STREAM = "Content-Type: text/event-stream\r\n";

	private Installation installation;

	@BeforeEach
	void start() throws IOException {
		this.installation = new Installation();
		this.installation.withoutRetries();
	}

	@AfterEach
	void stop() {
		this.installation.close();
	}

	private HttpResponse<String> upload(RawEndpointStandIn endpoint, String service, String path) throws Exception {
		this.installation.store().put(CallerWire.ENDPOINT_TOPIC, "raw-1", endpoint.record(service));
		this.installation.vm("vm-0");
		this.installation.awaitReady();
		return this.installation
			.send(this.installation.attempt(0, path).POST(HttpRequest.BodyPublishers.ofString(UPLOAD)));
	}

	private static RawEndpointStandIn.Handler part(int status, String headers, String body, End end) {
		return (socket, request) -> {
			RawEndpointStandIn.write(socket, "HTTP/1.1 " + status + " Status\r\n"
					+ ScriptedAnswers.idHeader(request.attemptId()) + ScriptedAnswers.signature() + headers + "\r\n");
			RawEndpointStandIn.write(socket, body);
			pause();
			return end.end(socket);
		};
	}

	private static void pause() throws IOException {
		try {
			Thread.sleep(200);
		}
		catch (InterruptedException ex) {
			throw new IOException("the stand-in was closed", ex);
		}
	}

	@ParameterizedTest
	@EnumSource
	void aPartOfAnAnswerIsNotForwarded(End end) throws Exception {
		try (RawEndpointStandIn endpoint = RawEndpointStandIn.answeringEarly(part(200, "", "part", end))) {
			assertThat(upload(endpoint, "core", "/push/x").statusCode()).isEqualTo(502);
		}
	}

	@ParameterizedTest
	@EnumSource
	void aPartOfAStreamIsNotComplete(End end) throws Exception {
		RawEndpointStandIn.Handler events = part(200, EVENT_STREAM, ScriptedAnswers.events(0, 2), end);
		try (RawEndpointStandIn endpoint = RawEndpointStandIn.answeringEarly(events)) {
			assertThatThrownBy(() -> upload(endpoint, "pool", "/stream/x")).isInstanceOf(IOException.class);
		}
	}

	@ParameterizedTest
	@CsvSource({ "200, Content-Length: 4", "413, Connection: close" })
	void aWholeAnswerIsForwarded(int status, String header) throws Exception {
		RawEndpointStandIn.Handler whole = part(status, header + "\r\n", "body", End.OUTPUT_ENDED);
		try (RawEndpointStandIn endpoint = RawEndpointStandIn.answeringEarly(whole)) {
			HttpResponse<String> response = upload(endpoint, "core", "/push/x");
			assertThat(response.statusCode()).isEqualTo(status);
			assertThat(response.body()).isEqualTo("body");
		}
	}

	/**
	 * How the connection ends.
	 */
	enum End {

		/** By a reset. */
		RESET {
			@Override
			boolean end(Socket socket) throws IOException {
				socket.setSoLinger(true, 0);
				return false;
			}
		},

		/** By the end of the endpoint's output. */
		OUTPUT_ENDED {
			@Override
			boolean end(Socket socket) throws IOException {
				socket.shutdownOutput();
				pause();
				return false;
			}
		};

		abstract boolean end(Socket socket) throws IOException;

	}

}
