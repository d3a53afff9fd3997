package org.fulmargap.entry;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.atomic.AtomicInteger;

import org.fulmargap.platform.standin.CallerWire;
import org.fulmargap.platform.standin.RawEndpointStandIn;
import org.fulmargap.platform.standin.ScriptedAnswers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a wrong status where the cut head is of another kind than an answer with
 * a length. Each place of the cut is tried.
 */
class JoinedHeadKindsTests {

	private static final String TRUE_BODY = "true body";

	private Installation installation;

	@BeforeEach
	void start() throws IOException {
		this.installation = new Installation();
	}

	@AfterEach
	void stop() {
		this.installation.close();
	}

	@ParameterizedTest
	@EnumSource
	void aFailureKeepsItsStatusBehindACutHead(Kind kind) throws Exception {
		AtomicInteger cut = new AtomicInteger();
		RawEndpointStandIn.Handler handler = (socket, request) -> {
			RawEndpointStandIn.write(socket, kind.head.substring(0, cut.get()) + ScriptedAnswers.answer(500,
					ScriptedAnswers.idHeader(request.attemptId()) + ScriptedAnswers.signature(), TRUE_BODY));
			return true;
		};
		try (RawEndpointStandIn endpoint = new RawEndpointStandIn(handler)) {
			this.installation.store().put(CallerWire.ENDPOINT_TOPIC, "raw-1", endpoint.record("core"));
			this.installation.vm("vm-0");
			this.installation.awaitReady();
			for (int i = 0; i <= kind.head.length(); i++) {
				cut.set(i);
				HttpResponse<String> response = this.installation.send(this.installation.request(0, "/push/x")
					.method("POST", HttpRequest.BodyPublishers.noBody())
					.header(CallerWire.ATTEMPT_ID, "true" + i)
					.header(CallerWire.TIME_LEFT_MS, "5000"));
				assertThat(response.statusCode()).as("cut after %s characters", i).isIn(500, 502);
				if (response.statusCode() == 500) {
					assertThat(response.body()).isEqualTo(TRUE_BODY);
				}
			}
		}
	}

	/**
	 * The head that is cut.
	 */
	enum Kind {

		/** An interim answer. */
		INTERIM("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"),

		/** An answer without a body. */
		NO_CONTENT("HTTP/1.1 204 No Content\r\n" + ScriptedAnswers.idHeader("other") + ScriptedAnswers.signature()
				+ "\r\n"),

		/** An answer in chunks. */
		CHUNKS("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + ScriptedAnswers.idHeader("other") + "\r\n"),

		/** An answer in chunks that is cut in its trailer. */
		TRAILER("HTTP/1.1 200 OK\r\n" + ScriptedAnswers.idHeader("other") + "Transfer-Encoding: chunked\r\n\r\n"
				+ "2\r\nab\r\n0\r\nX-Check: value\r\n\r\n"),

		/** An answer that is ended by the connection. */
		CONNECTION("HTTP/1.1 200 OK\r\nConnection: close\r\n" + ScriptedAnswers.idHeader("other") + "\r\n"),

		/** No reason phrase, and a folded value. */
		FOLDED("HTTP/1.1 200 \r\nX-Long: a,\r\n b\r\n" + ScriptedAnswers.idHeader("other")
				+ "Content-Length: 0\r\n\r\n"),

		/** Line ends without a carriage return. */
		LINE_FEEDS("HTTP/1.1 200 OK\n" + ScriptedAnswers.idHeader("other").replace("\r", "") + "Content-Length: 0\n\n"),

		/** With a body. */
		BODY("HTTP/1.1 200 OK\r\n" + ScriptedAnswers.idHeader("other") + "Content-Length: 40\r\n\r\n" + "x".repeat(40));

		private final String head;

		Kind(String head) {
			this.head = head;
		}

	}

}
