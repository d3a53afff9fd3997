package org.fulmargap.entry;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.List;

import org.fulmargap.platform.standin.CallerWire;
import org.fulmargap.platform.standin.RawEndpointStandIn;
import org.fulmargap.platform.standin.ScriptedAnswers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against answers that deny that a request has run although it may have. There is
 * a test for each row of the table in {@code docs/design/failed-answers.md}.
 */
class FailedAnswerTests {

	private static final String BODY = "half done";

	private static final String RETRY_AFTER = "Retry-After: 0\r\n";

	private Installation installation;

	@BeforeEach
	void start() throws IOException {
		this.installation = new Installation();
	}

	@AfterEach
	void stop() {
		this.installation.close();
	}

	private static RawEndpointStandIn.Handler failure(int status) {
		return failure(status, "");
	}

	private static RawEndpointStandIn.Handler failure(int status, String headers) {
		return ScriptedAnswers.text(status, ScriptedAnswers.signature() + headers, BODY);
	}

	private static RawEndpointStandIn.Handler notExecuted(int status) {
		return ScriptedAnswers.text(status, ScriptedAnswers.notExecuted(), "");
	}

	private static RawEndpointStandIn.Handler success() {
		return ScriptedAnswers.text(200, ScriptedAnswers.signature(), "done");
	}

	// Lists three endpoints of a service that answer by one list of scripts.
	private HttpResponse<String> send(String service, String path, ScriptedAnswers answers) throws Exception {
		try (RawEndpointStandIn first = new RawEndpointStandIn(answers);
				RawEndpointStandIn second = new RawEndpointStandIn(answers);
				RawEndpointStandIn third = new RawEndpointStandIn(answers)) {
			this.installation.store().put(CallerWire.ENDPOINT_TOPIC, "raw-1", first.record(service));
			this.installation.store().put(CallerWire.ENDPOINT_TOPIC, "raw-2", second.record(service));
			this.installation.store().put(CallerWire.ENDPOINT_TOPIC, "raw-3", third.record(service));
			this.installation.vm("vm-0");
			this.installation.awaitReady();
			return this.installation.send(this.installation.attempt(0, path));
		}
	}

	private static ScriptedAnswers answers(RawEndpointStandIn.Handler... scripts) {
		return new ScriptedAnswers(List.of(scripts));
	}

	private static void assertUnchanged(HttpResponse<String> response, int status) {
		assertThat(response.statusCode()).isEqualTo(status);
		assertThat(response.body()).isEqualTo(BODY);
		assertThat(response.headers().firstValue(CallerWire.SIGNATURE)).contains("signature");
	}

	private static void assertOutcomeUnknown(HttpResponse<String> response) {
		assertThat(response.statusCode()).isEqualTo(502);
		assertThat(response.headers().firstValue(CallerWire.SIGNATURE)).isEmpty();
		assertThat(response.headers().firstValue("Retry-After")).isEmpty();
	}

	@Nested
	class NonIdempotentRequests {

		@ParameterizedTest
		@CsvSource({ "408,false", "429,false", "503,false", "408,true", "429,true", "503,true" })
		void aRequestThatMayHaveRunIsNotAnsweredAsOneThatHasNot(int status, boolean namesRetryAfter) throws Exception {
			ScriptedAnswers answers = answers(failure(status, (namesRetryAfter) ? RETRY_AFTER : ""), success());
			assertOutcomeUnknown(send("core", "/push/x", answers));
			assertThat(answers.requests()).hasSize(1);
		}

		@ParameterizedTest
		@ValueSource(ints = { 400, 401, 404, 409, 413, 500, 501, 502, 504, 507 })
		void aFailureThatPromisesNothingIsForwardedUnchanged(int status) throws Exception {
			ScriptedAnswers answers = answers(failure(status), success());
			assertUnchanged(send("core", "/push/x", answers), status);
			assertThat(answers.requests()).hasSize(1);
		}

		@ParameterizedTest
		@ValueSource(ints = { 400, 408, 409, 421, 429, 500, 503 })
		void aRequestThatHasNotRunIsSentToAnotherEndpoint(int status) throws Exception {
			ScriptedAnswers answers = answers(notExecuted(status), success());
			assertThat(send("core", "/push/x", answers).body()).isEqualTo("done");
			assertThat(answers.requests()).hasSize(2);
		}

		@Test
		void aRequestThatWasMisdirectedIsSentToAnotherEndpoint() throws Exception {
			ScriptedAnswers answers = answers(failure(421), success());
			assertThat(send("core", "/push/x", answers).body()).isEqualTo("done");
			assertThat(answers.requests()).hasSize(2);
		}

		@ParameterizedTest
		@ValueSource(ints = { 429, 500, 503 })
		void aRequestThatNoEndpointHasRunIsRefused(int status) throws Exception {
			HttpResponse<String> response = send("core", "/push/x", answers(notExecuted(status)));
			assertThat(response.statusCode()).isEqualTo(503);
			assertThat(response.headers().firstValue("Retry-After")).isPresent();
		}

		@ParameterizedTest
		@ValueSource(ints = { 408, 429, 503 })
		void aRequestThatMayHaveRunAtTheSecondEndpointIsNotAnsweredAsOneThatHasNot(int status) throws Exception {
			ScriptedAnswers answers = answers(notExecuted(503), failure(status), success());
			assertOutcomeUnknown(send("core", "/push/x", answers));
			assertThat(answers.requests()).hasSize(2);
		}

	}

	@Nested
	class IdempotentRequests {

		@ParameterizedTest
		@ValueSource(ints = { 408, 429, 500, 502, 503, 504 })
		void aFailedRequestIsSentToAnotherEndpoint(int status) throws Exception {
			ScriptedAnswers answers = answers(failure(status), success());
			assertThat(send("core", "/read/x", answers).body()).isEqualTo("done");
			assertThat(answers.requests()).hasSize(2);
		}

		@ParameterizedTest
		@ValueSource(ints = { 408, 429, 500, 502, 503, 504 })
		void theFailureOfTheLastEndpointIsForwardedUnchanged(int status) throws Exception {
			ScriptedAnswers answers = answers(failure(status));
			assertUnchanged(send("core", "/read/x", answers), status);
			assertThat(answers.requests()).hasSize(2);
		}

		@ParameterizedTest
		@ValueSource(ints = { 400, 404, 409 })
		void aFailureOfTheRequestIsForwardedUnchanged(int status) throws Exception {
			ScriptedAnswers answers = answers(failure(status), success());
			assertUnchanged(send("core", "/read/x", answers), status);
			assertThat(answers.requests()).hasSize(1);
		}

		@Test
		void aRequestThatMayHaveRunAtTheFirstEndpointIsNotAnsweredAsOneThatHasNot() throws Exception {
			assertOutcomeUnknown(send("core", "/read/x", answers(failure(500), notExecuted(503))));
		}

	}

	@Nested
	class Streams {

		private void configure(String field, String replacement) {
			FailedAnswerTests.this.installation.store()
				.put(CallerWire.OPERATOR_TOPIC, "config", CallerWire.CONFIG.formatted(2).replace(field, replacement));
		}

		private void onceOnly() {
			configure("\"resumable\":true", "\"resumable\":false");
		}

		@ParameterizedTest
		@ValueSource(ints = { 408, 429, 503 })
		void aStreamThatMayHaveRunIsNotAnsweredAsOneThatHasNot(int status) throws Exception {
			onceOnly();
			ScriptedAnswers answers = answers(failure(status), success());
			assertOutcomeUnknown(send("pool", "/stream/x", answers));
			assertThat(answers.requests()).hasSize(1);
		}

		@ParameterizedTest
		@ValueSource(ints = { 400, 500, 504 })
		void aFailureThatPromisesNothingIsForwardedUnchanged(int status) throws Exception {
			onceOnly();
			assertUnchanged(send("pool", "/stream/x", answers(failure(status), success())), status);
		}

		@ParameterizedTest
		@ValueSource(ints = { 408, 429, 500, 503 })
		void aResumableStreamIsSentToAnotherEndpoint(int status) throws Exception {
			ScriptedAnswers answers = answers(failure(status), ScriptedAnswers.soundStream());
			assertThat(send("pool", "/stream/x", answers).statusCode()).isEqualTo(200);
			assertThat(answers.requests()).hasSize(2);
		}

		@ParameterizedTest
		@ValueSource(ints = { 408, 429, 500, 503 })
		void theFailureOfTheLastEndpointOfAResumableStreamIsForwardedUnchanged(int status) throws Exception {
			assertUnchanged(send("pool", "/stream/x", answers(failure(status))), status);
		}

		@ParameterizedTest
		@ValueSource(ints = { 400, 408, 429, 500, 503 })
		void aStreamThatHasBegunGoesOnAfterAFailure(int status) throws Exception {
			configure("\"max-attempts\":2,\"resumable\":true", "\"max-attempts\":3,\"resumable\":true");
			String begin = ScriptedAnswers.events(0, 2) + "id: 2\ndata: to";
			ScriptedAnswers answers = answers(ScriptedAnswers.stream(ScriptedAnswers.Framing.CHUNKED, begin),
					failure(status), ScriptedAnswers.soundStream());
			HttpResponse<String> response = send("pool", "/stream/x", answers);
			assertThat(response.body()).isEqualTo(ScriptedAnswers.events(0, 5));
			assertThat(answers.requests()).hasSize(3);
		}

	}

	@Nested
	class FailingEndpoints {

		private static final int REQUESTS = 60;

		@ParameterizedTest
		@ValueSource(ints = { 408, 429, 500, 503 })
		void anEndpointThatFailsItsRequestsGetsFewOfThem(int status) throws Exception {
			ScriptedAnswers failing = answers(failure(status));
			ScriptedAnswers sound = answers(success());
			try (RawEndpointStandIn first = new RawEndpointStandIn(failing);
					RawEndpointStandIn second = new RawEndpointStandIn(sound)) {
				Installation system = FailedAnswerTests.this.installation;
				system.store().put(CallerWire.ENDPOINT_TOPIC, "raw-1", first.record("core"));
				system.store().put(CallerWire.ENDPOINT_TOPIC, "raw-2", second.record("core"));
				system.vm("vm-0");
				system.awaitReady();
				for (int i = 0; i < REQUESTS; i++) {
					system.send(system.attempt(0, "/push/x"));
				}
				assertThat(failing.requests()).hasSizeLessThan(REQUESTS / 4);
			}
		}

	}

}
