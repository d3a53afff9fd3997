package org.fulmargap.entry;

import java.io.IOException;
import java.util.List;

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
 * Guards against successes whose body is not the endpoint's: callers ask for no encoding,
 * so an encoded body was made by something else.
 */
class EncodedAnswerTests {

	private static final String GZIP = "Content-Encoding: gzip\r\n";

	private Installation installation;

	@BeforeEach
	void start() throws IOException {
		this.installation = new Installation();
	}

	@AfterEach
	void stop() {
		this.installation.close();
	}

	private void startVm(RawEndpointStandIn endpoint, String service) throws Exception {
		this.installation.store().put(CallerWire.ENDPOINT_TOPIC, service + "-raw", endpoint.record(service));
	}

	private void awaitVm() throws Exception {
		this.installation.vm("vm-0");
		this.installation.awaitReady();
	}

	private static RawEndpointStandIn.Handler encoded(String headers, String body) {
		return (socket, request) -> {
			RawEndpointStandIn.write(socket, RawEndpointStandIn.head(request.attemptId(), headers) + body);
			return false;
		};
	}

	@ParameterizedTest
	@ValueSource(strings = { GZIP + "Content-Length: 4\r\n", GZIP + "Content-Length: 0\r\n",
			GZIP + "Connection: close\r\n", "Transfer-Encoding: gzip\r\n",
			"Transfer-Encoding: gzip\r\nContent-Length: 4\r\n", "Transfer-Encoding: gzip, chunked\r\n" })
	void anEncodedSuccessIsNotForwarded(String headers) throws Exception {
		String body = headers.contains("chunked") ? "4\r\nbody\r\n0\r\n\r\n" : headers.contains(": 0") ? "" : "body";
		try (RawEndpointStandIn endpoint = new RawEndpointStandIn(encoded(headers, body))) {
			startVm(endpoint, "core");
			awaitVm();
			assertThat(this.installation.send(this.installation.attempt(0, "/push/x")).statusCode()).isEqualTo(502);
		}
	}

	@Test
	void anotherEndpointAnswersARequestThatMayBeRepeated() throws Exception {
		ScriptedAnswers answers = new ScriptedAnswers(
				List.of(encoded(GZIP + "Content-Length: 4\r\n", "body"), RawEndpointStandIn::answer));
		try (RawEndpointStandIn one = new RawEndpointStandIn(answers);
				RawEndpointStandIn other = new RawEndpointStandIn(answers)) {
			startVm(one, "core");
			this.installation.store().put(CallerWire.ENDPOINT_TOPIC, "other", other.record("core"));
			awaitVm();
			assertThat(this.installation.send(this.installation.attempt(0, "/read/x")).statusCode()).isEqualTo(200);
		}
	}

	@Test
	void anEncodedStreamIsNotForwarded() throws Exception {
		String headers = GZIP + "Content-Type: text/event-stream\r\nConnection: close\r\n";
		try (RawEndpointStandIn engine = new RawEndpointStandIn(encoded(headers, ScriptedAnswers.events(0, 5)))) {
			startVm(engine, "pool");
			this.installation.endpoint("stage-1", "stage");
			awaitVm();
			assertThat(this.installation.send(this.installation.pipeline(0)).statusCode()).isEqualTo(502);
		}
	}

}
