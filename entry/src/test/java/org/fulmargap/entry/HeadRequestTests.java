package org.fulmargap.entry;

import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.atomic.AtomicInteger;

import org.fulmargap.platform.standin.CallerWire;
import org.fulmargap.platform.standin.RawEndpointStandIn;
import org.fulmargap.platform.standin.ScriptedAnswers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against waiting for the body of an answer to a HEAD request, which has none, and
 * against reading the next answer as this body.
 */
class HeadRequestTests {

	private static final int REQUESTS = 5;

	private static final String LENGTH = "Content-Length: 800\r\n";

	private Installation installation;

	private final AtomicInteger lastId = new AtomicInteger();

	@BeforeEach
	void start() throws IOException {
		this.installation = new Installation();
	}

	@AfterEach
	void stop() {
		this.installation.close();
	}

	private void startVm(RawEndpointStandIn endpoint, String service) throws Exception {
		this.installation.store().put(CallerWire.ENDPOINT_TOPIC, "raw-1", endpoint.record(service));
		this.installation.vm("vm-0");
		this.installation.awaitReady();
	}

	private HttpResponse<String> send(String method) throws Exception {
		return send(method, "/push/x");
	}

	private HttpResponse<String> send(String method, String path) throws Exception {
		return this.installation.send(this.installation.request(0, path)
			.method(method, HttpRequest.BodyPublishers.noBody())
			.header(CallerWire.ATTEMPT_ID, method + this.lastId.incrementAndGet())
			.header(CallerWire.TIME_LEFT_MS, "5000"));
	}

	private static boolean isHead(RawEndpointStandIn.Request request) {
		return request.attemptId().startsWith("HEAD");
	}

	private void assertAllAreServed(RawEndpointStandIn endpoint, String length) throws Exception {
		startVm(endpoint, "core");
		for (int i = 0; i < REQUESTS; i++) {
			HttpResponse<String> head = send("HEAD");
			assertThat(head.statusCode()).isEqualTo(200);
			assertThat(head.headers().firstValue("content-length").orElse("none")).isEqualTo(length);
			HttpResponse<String> read = send("GET");
			assertThat(read.statusCode()).isEqualTo(200);
			assertThat(read.body()).isEqualTo(RawEndpointStandIn.body("GET" + this.lastId.get()));
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { LENGTH, "Transfer-Encoding: chunked\r\n", "" })
	void anAnswerToHeadEndsWithItsHead(String framing) throws Exception {
		RawEndpointStandIn.Handler handler = (socket, request) -> {
			if (!isHead(request)) {
				return RawEndpointStandIn.answer(socket, request);
			}
			RawEndpointStandIn.write(socket, RawEndpointStandIn.head(request.attemptId(), framing));
			return true;
		};
		try (RawEndpointStandIn endpoint = new RawEndpointStandIn(handler)) {
			assertAllAreServed(endpoint, (framing.equals(LENGTH)) ? "800" : "none");
		}
	}

	@Test
	void aLateCopyOfAnAnswerToHeadDoesNotTakeTheNextAnswer() throws Exception {
		RawEndpointStandIn.Handler handler = (socket, request) -> {
			if (!isHead(request)) {
				return RawEndpointStandIn.answer(socket, request);
			}
			String head = RawEndpointStandIn.head(request.attemptId(), LENGTH);
			RawEndpointStandIn.write(socket, head);
			pause();
			RawEndpointStandIn.write(socket, head);
			return true;
		};
		try (RawEndpointStandIn endpoint = new RawEndpointStandIn(handler)) {
			assertAllAreServed(endpoint, "800");
		}
	}

	@Test
	void aCopyOfAnEarlierAnswerBeforeAnAnswerToHeadIsSkippedWithItsBody() throws Exception {
		String[] lastId = new String[1];
		RawEndpointStandIn.Handler handler = (socket, request) -> {
			String copy = (lastId[0] != null) ? whole(lastId[0]) : "";
			lastId[0] = request.attemptId();
			if (isHead(request)) {
				RawEndpointStandIn.write(socket, copy + RawEndpointStandIn.head(request.attemptId(), LENGTH));
				lastId[0] = null;
				return true;
			}
			return write(socket, whole(request.attemptId()));
		};
		try (RawEndpointStandIn endpoint = new RawEndpointStandIn(handler)) {
			assertAllAreServed(endpoint, "800");
		}
	}

	@Test
	void aHeadRequestOfAStreamIsServed() throws Exception {
		RawEndpointStandIn.Handler handler = (socket, request) -> {
			RawEndpointStandIn.write(socket, RawEndpointStandIn.head(request.attemptId(),
					"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
			return true;
		};
		try (RawEndpointStandIn endpoint = new RawEndpointStandIn(handler)) {
			startVm(endpoint, "pool");
			assertThat(send("HEAD", "/stream/x").statusCode()).isEqualTo(200);
		}
	}

	@Test
	void aRefusalOfAHeadRequestStatesItsLength() throws Exception {
		this.installation.vm("vm-0");
		this.installation.awaitReady();
		HttpResponse<String> refused = send("HEAD");
		assertThat(refused.statusCode()).isEqualTo(503);
		assertThat(refused.headers().firstValueAsLong("content-length").orElse(0)).isPositive();
	}

	private static String whole(String id) {
		return ScriptedAnswers.answer(200, ScriptedAnswers.idHeader(id) + ScriptedAnswers.signature(),
				RawEndpointStandIn.body(id));
	}

	private static boolean write(Socket socket, String text) throws IOException {
		RawEndpointStandIn.write(socket, text);
		return true;
	}

	private static void pause() throws IOException {
		try {
			Thread.sleep(5);
		}
		catch (InterruptedException ex) {
			throw new IOException("the stand-in was closed", ex);
		}
	}

}
