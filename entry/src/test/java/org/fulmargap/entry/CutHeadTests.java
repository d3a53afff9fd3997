package org.fulmargap.entry;

import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.util.concurrent.atomic.AtomicInteger;

import org.fulmargap.platform.standin.CallerWire;
import org.fulmargap.platform.standin.RawEndpointStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against answers that look whole to a caller although their endpoint stopped in
 * the middle of the head. Each place of the cut is tried, with and without a sound answer
 * before it on the same connection.
 */
class CutHeadTests {

	private static final String STAGE_BODY = "{\"items\":[{\"handle\":\"127.0.0.1:1/1\"},{\"handle\":\"127.0.0.1:1/2\"}]}";

	/** Enough time for the first calls of a stage. */
	private static final String STAGE_TIME_MS = "1000";

	/** The distance of the cuts in answers to stage calls, each of which takes long. */
	private static final int CUT_STEP = 23;

	private Installation installation;

	private final AtomicInteger requests = new AtomicInteger();

	private final AtomicInteger cut = new AtomicInteger();

	@BeforeEach
	void start() throws Exception {
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

	private boolean writeCut(Socket socket, RawEndpointStandIn.Request request, Framing framing, boolean reset)
			throws IOException {
		this.requests.incrementAndGet();
		String head = framing.head(request.attemptId());
		RawEndpointStandIn.write(socket, head.substring(0, this.cut.get()));
		if (reset) {
			socket.setSoLinger(true, 0);
		}
		return false;
	}

	@ParameterizedTest
	@EnumSource
	void anActionWithACutHeadHasAnUnknownOutcome(Framing framing) throws Exception {
		RawEndpointStandIn.Handler handler = (socket, request) -> (request.attemptId().startsWith("sound"))
				? RawEndpointStandIn.answer(socket, request)
				: writeCut(socket, request, framing, this.cut.get() % 2 == 0);
		try (RawEndpointStandIn endpoint = new RawEndpointStandIn(handler)) {
			startVm(endpoint, "core");
			int length = framing.head("cut100").length();
			for (int i = 0; i < length; i++) {
				this.cut.set(i);
				if (i % 3 == 0) {
					HttpResponse<String> sound = push("sound" + i);
					assertThat(sound.statusCode()).isEqualTo(200);
					assertThat(sound.body()).isEqualTo(RawEndpointStandIn.body("sound" + i));
				}
				assertThat(push("cut" + (100 + i)).statusCode()).as("cut after %s characters", i).isEqualTo(502);
			}
			assertThat(this.requests).hasValue(length);
		}
	}

	private HttpResponse<String> push(String attemptId) throws Exception {
		return this.installation.send(this.installation.request(0, "/push/x")
			.header(CallerWire.ATTEMPT_ID, attemptId)
			.header(CallerWire.TIME_LEFT_MS, "5000"));
	}

	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void aStreamWithACutHeadDoesNotBegin(boolean reset) throws Exception {
		try (RawEndpointStandIn endpoint = new RawEndpointStandIn(
				(socket, request) -> writeCut(socket, request, Framing.STREAM, reset))) {
			startVm(endpoint, "pool");
			int length = Framing.STREAM.head("attempt100").length();
			for (int i = 0; i < length; i += 3) {
				this.cut.set(i);
				HttpResponse<String> response = this.installation.send(this.installation.attempt(0, "/stream/x"));
				assertThat(response.statusCode()).as("cut after %s characters", i).isIn(502, 503);
			}
			assertThat(this.requests).hasPositiveValue();
		}
	}

	@Test
	void aStreamOfCommentsAloneIsNoAnswer() throws Exception {
		RawEndpointStandIn.Handler handler = (socket, request) -> {
			RawEndpointStandIn.write(socket, Framing.STREAM.head(request.attemptId()) + "8\r\n:later\n\n\r\n0\r\n\r\n");
			return true;
		};
		try (RawEndpointStandIn endpoint = new RawEndpointStandIn(handler)) {
			startVm(endpoint, "pool");
			assertThat(this.installation.send(this.installation.attempt(0, "/stream/x")).statusCode()).isEqualTo(502);
		}
	}

	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void aStageCallWithACutHeadFails(boolean reset) throws Exception {
		try (RawEndpointStandIn endpoint = new RawEndpointStandIn(
				(socket, request) -> writeCut(socket, request, Framing.STAGE, reset))) {
			this.installation.endpoint("pool-1", "pool");
			startVm(endpoint, "stage");
			int length = Framing.STAGE.head("").length();
			for (int i = 0; i < length; i += CUT_STEP) {
				this.cut.set(i);
				assertThat(this.installation
					.send(this.installation.pipeline(0).setHeader(CallerWire.TIME_LEFT_MS, STAGE_TIME_MS))
					.statusCode()).as("cut after %s characters", i).isEqualTo(503);
			}
		}
	}

	/**
	 * What the end of the body would be known by, had the head been whole.
	 */
	enum Framing {

		/** By a stated length. */
		LENGTH("Content-Length: 14\r\nX-Filler: 0\r\n"),

		/** By chunks. */
		CHUNKS("Transfer-Encoding: chunked\r\n"),

		/** By the end of the connection. */
		CONNECTION("Connection: close\r\n"),

		/** As an event stream, by chunks. */
		STREAM("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"),

		/** As an answer to a stage call, by a stated length. */
		STAGE("Content-Type: application/json\r\nContent-Length: " + STAGE_BODY.length() + "\r\n");

		private final String headers;

		Framing(String headers) {
			this.headers = headers;
		}

		private String head(String attemptId) {
			return RawEndpointStandIn.head(attemptId, this.headers);
		}

	}

}
