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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against bytes that follow an answer whose status has no body, and are read as a
 * part of the next answer.
 */
class BodilessAnswerTests {

	private static final int REQUESTS = 4;

	private final AtomicInteger lastId = new AtomicInteger();

	private Installation installation;

	@BeforeEach
	void start() throws IOException {
		this.installation = new Installation();
	}

	@AfterEach
	void stop() {
		this.installation.close();
	}

	private HttpResponse<String> send(String kind) throws Exception {
		return this.installation.send(this.installation.request(0, "/push/x")
			.method("POST", HttpRequest.BodyPublishers.noBody())
			.header(CallerWire.ATTEMPT_ID, kind + this.lastId.incrementAndGet())
			.header(CallerWire.TIME_LEFT_MS, "5000"));
	}

	@ParameterizedTest
	@CsvSource({ "204,body", "204,''", "304,body", "304,''", "204,HTTP/1.1 200 OK" })
	void theNextAnswerIsWhole(int status, String body) throws Exception {
		RawEndpointStandIn.Handler handler = (socket, request) -> {
			if (request.attemptId().startsWith("sound")) {
				return RawEndpointStandIn.answer(socket, request);
			}
			return write(socket, ScriptedAnswers.answer(status,
					ScriptedAnswers.idHeader(request.attemptId()) + ScriptedAnswers.signature(), body));
		};
		try (RawEndpointStandIn endpoint = new RawEndpointStandIn(handler)) {
			this.installation.store().put(CallerWire.ENDPOINT_TOPIC, "raw-1", endpoint.record("core"));
			this.installation.vm("vm-0");
			this.installation.awaitReady();
			for (int i = 0; i < REQUESTS; i++) {
				HttpResponse<String> bodiless = send("bodiless");
				assertThat(bodiless.statusCode()).isEqualTo(status);
				assertThat(bodiless.body()).isEmpty();
				assertThat(send("sound").body()).isEqualTo(RawEndpointStandIn.body("sound" + this.lastId.get()));
			}
		}
	}

	private static boolean write(Socket socket, String text) throws IOException {
		RawEndpointStandIn.write(socket, text);
		return true;
	}

}
