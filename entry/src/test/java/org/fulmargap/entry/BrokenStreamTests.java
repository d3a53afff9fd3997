package org.fulmargap.entry;

import java.io.IOException;
import java.io.InputStream;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import org.fulmargap.platform.standin.CallerWire;
import org.fulmargap.platform.standin.RawEndpointStandIn;
import org.fulmargap.platform.standin.ScriptedAnswers;
import org.fulmargap.platform.standin.ScriptedAnswers.Framing;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Named;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of what a caller receives when the stream of an endpoint breaks off.
 */
class BrokenStreamTests {

	private static final String EVENT_STREAM = "Content-Type: text/event-stream\r\n";

	/** The callers of these tests wait for five seconds. */
	private static final long MAX_MS = 2_500;

	private static final String PARTIAL_EVENT = "id: 2\ndata: tok";

	/** Enough time for whole events to be forwarded. */
	private static final long PAUSE_MS = 200;

	/** The stream of the first endpoint breaks off after two events. */
	private static final RawEndpointStandIn.Handler BROKEN = ScriptedAnswers.stream(Framing.BROKEN_CHUNKS,
			ScriptedAnswers.events(0, 2) + PARTIAL_EVENT);

	private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private final List<RawEndpointStandIn> engines = new ArrayList<>();

	private Installation installation;

	@BeforeEach
	void start() throws IOException {
		this.installation = new Installation();
		this.installation.endpoint("stage-1", "stage");
	}

	@AfterEach
	void stop() throws IOException {
		this.installation.close();
		for (RawEndpointStandIn engine : this.engines) {
			engine.close();
		}
	}

	private Received stream(ScriptedAnswers answers, int maxAttempts, boolean resumable) throws Exception {
		this.installation.store()
			.put(CallerWire.OPERATOR_TOPIC, "config",
					CallerWire.CONFIG.formatted(2)
						.replace("\"max-attempts\":2,\"resumable\":true",
								"\"max-attempts\":" + maxAttempts + ",\"resumable\":" + resumable));
		for (int i = 0; i < 4; i++) {
			RawEndpointStandIn engine = new RawEndpointStandIn(answers);
			this.engines.add(engine);
			this.installation.store().put(CallerWire.ENDPOINT_TOPIC, "pool-" + i, engine.record("pool"));
		}
		this.installation.vm("vm-0");
		this.installation.awaitReady();
		long startedAtMs = System.currentTimeMillis();
		Received received = receive(this.installation.pipeline(0));
		assertThat(System.currentTimeMillis() - startedAtMs).isLessThan(MAX_MS);
		return received;
	}

	private Received receive(HttpRequest.Builder request) throws Exception {
		HttpResponse<InputStream> response = this.client.send(request.build(),
				HttpResponse.BodyHandlers.ofInputStream());
		StringBuilder body = new StringBuilder();
		try (InputStream in = response.body()) {
			for (int next = in.read(); next >= 0; next = in.read()) {
				body.append((char) next);
			}
			return new Received(response.statusCode(), body.toString(), true);
		}
		catch (IOException ex) {
			return new Received(response.statusCode(), body.toString(), false);
		}
	}

	private static ScriptedAnswers answers(RawEndpointStandIn.Handler... scripts) {
		return new ScriptedAnswers(List.of(scripts));
	}

	private static Arguments answer(String name, RawEndpointStandIn.Handler handler) {
		return Arguments.of(Named.of(name, handler));
	}

	private record Received(int status, String body, boolean complete) {

		static final Received ALL_EVENTS = new Received(200, ScriptedAnswers.events(0, 5), true);

		static final Received TWO_EVENTS = new Received(200, ScriptedAnswers.events(0, 2), false);

		static final Received UNKNOWN = new Received(502, "{\"error\":\"OUTCOME_UNKNOWN\"}", true);

	}

	@Nested
	class NextEndpointAnswersWithAnError {

		private static Stream<Arguments> errors() {
			String signature = ScriptedAnswers.signature();
			return Stream.of(answer("500", ScriptedAnswers.text(500, signature, "error")),
					answer("500 unsigned", ScriptedAnswers.text(500, "", "error")),
					answer("504", ScriptedAnswers.text(504, signature, "error")),
					answer("404", ScriptedAnswers.text(404, signature, "error")),
					answer("400", ScriptedAnswers.text(400, signature, "error")),
					answer("409", ScriptedAnswers.text(409, signature, "error")),
					answer("302", ScriptedAnswers.text(302, signature, "error")),
					answer("503 without refusal", ScriptedAnswers.text(503, signature, "error")),
					answer("200 unsigned", ScriptedAnswers.text(200, EVENT_STREAM, ScriptedAnswers.events(2, 5))),
					answer("200 text", ScriptedAnswers.text(200, signature, "error")),
					answer("200 JSON",
							ScriptedAnswers.text(200, signature + "Content-Type: application/json\r\n", "{}\n\n")),
					answer("204", ScriptedAnswers.text(204, signature, "")));
		}

		private static Stream<Arguments> refusals() {
			return Stream.of(400, 409, 421, 429, 503)
				.map((status) -> answer("refused " + status,
						ScriptedAnswers.text(status, ScriptedAnswers.notExecuted(), "refused")));
		}

		private static Stream<Arguments> errorsAndRefusals() {
			return Stream.concat(errors(), refusals());
		}

		@ParameterizedTest
		@MethodSource("errorsAndRefusals")
		void aThirdEndpointContinuesTheStream(RawEndpointStandIn.Handler error) throws Exception {
			ScriptedAnswers answers = answers(BROKEN, error, ScriptedAnswers.soundStream());
			assertThat(stream(answers, 3, true)).isEqualTo(Received.ALL_EVENTS);
		}

		@ParameterizedTest
		@MethodSource("errors")
		void theConnectionIsClosedWhenNoFurtherEndpointMayRunTheRequest(RawEndpointStandIn.Handler error)
				throws Exception {
			assertThat(stream(answers(BROKEN, error), 2, true)).isEqualTo(Received.TWO_EVENTS);
		}

		@ParameterizedTest
		@MethodSource("refusals")
		void theConnectionIsClosedWhenAllFurtherEndpointsRefuse(RawEndpointStandIn.Handler refusal) throws Exception {
			assertThat(stream(answers(BROKEN, refusal), 2, true)).isEqualTo(Received.TWO_EVENTS);
		}

		@Test
		void aStreamThatMayNotBeResumedIsNotSentAgain() throws Exception {
			ScriptedAnswers answers = answers(BROKEN, ScriptedAnswers.soundStream());
			assertThat(stream(answers, 3, false)).isEqualTo(Received.TWO_EVENTS);
			assertThat(answers.requests()).hasSize(1);
		}

	}

	@Nested
	class NextEndpointContinuesWrongly {

		@Test
		void eventsThatTheCallerHasAreNotSentTwice() throws Exception {
			ScriptedAnswers answers = answers(BROKEN,
					ScriptedAnswers.stream(Framing.CHUNKED, ScriptedAnswers.events(0, 5)));
			assertThat(stream(answers, 2, true)).isEqualTo(Received.TWO_EVENTS);
		}

		@Test
		void eventsAfterAGapAreNotForwarded() throws Exception {
			ScriptedAnswers answers = answers(BROKEN,
					ScriptedAnswers.stream(Framing.CHUNKED, ScriptedAnswers.events(3, 5)));
			assertThat(stream(answers, 2, true)).isEqualTo(Received.TWO_EVENTS);
		}

		@Test
		void theNextEndpointContinuesAfterTheLastEventThatWasForwarded() throws Exception {
			ScriptedAnswers answers = answers(BROKEN,
					ScriptedAnswers.stream(Framing.CHUNKED, ScriptedAnswers.events(0, 5)),
					ScriptedAnswers.soundStream());
			assertThat(stream(answers, 3, true)).isEqualTo(Received.ALL_EVENTS);
			assertThat(answers.requests().get(2).lastEventId()).isEqualTo("1");
		}

	}

	@Nested
	class StreamEndsInsideAnEvent {

		@ParameterizedTest
		@EnumSource(Framing.class)
		void itContinuesAtAnotherEndpoint(Framing framing) throws Exception {
			ScriptedAnswers answers = answers(
					ScriptedAnswers.stream(framing, ScriptedAnswers.events(0, 2) + PARTIAL_EVENT),
					ScriptedAnswers.soundStream());
			assertThat(stream(answers, 2, true)).isEqualTo(Received.ALL_EVENTS);
			assertThat(answers.requests().get(1).lastEventId()).isEqualTo("1");
		}

		@ParameterizedTest
		@EnumSource(Framing.class)
		void itIsNotCompleteIfItMayNotBeResumed(Framing framing) throws Exception {
			ScriptedAnswers answers = answers(
					ScriptedAnswers.stream(framing, ScriptedAnswers.events(0, 2) + PARTIAL_EVENT));
			assertThat(stream(answers, 2, false)).isEqualTo(Received.TWO_EVENTS);
		}

		@ParameterizedTest
		@EnumSource(Framing.class)
		void anEventWithoutItsEmptyLineIsNotForwarded(Framing framing) throws Exception {
			String withoutEmptyLine = ScriptedAnswers.event(2).substring(0, ScriptedAnswers.event(2).length() - 1);
			ScriptedAnswers answers = answers(
					ScriptedAnswers.stream(framing, ScriptedAnswers.events(0, 2) + withoutEmptyLine));
			assertThat(stream(answers, 2, false)).isEqualTo(Received.TWO_EVENTS);
		}

		@ParameterizedTest
		@EnumSource(Framing.class)
		void aFirstEventThatIsCutIsNotForwarded(Framing framing) throws Exception {
			Received received = stream(answers(ScriptedAnswers.stream(framing, "id: 0\ndata: tok")), 2, false);
			assertThat(received.status()).isEqualTo(502);
			assertThat(received.body()).doesNotContain("tok");
		}

	}

	@Nested
	class ConnectionEndsTheStream {

		@Test
		void aStreamWithoutLengthEndsWithItsConnection() throws Exception {
			ScriptedAnswers answers = answers(ScriptedAnswers.stream(Framing.CLOSE, ScriptedAnswers.events(0, 5)));
			assertThat(stream(answers, 2, true)).isEqualTo(Received.ALL_EVENTS);
		}

		@Test
		void aStreamWhoseConnectionIsResetBetweenEventsContinuesAtAnotherEndpoint() throws Exception {
			ScriptedAnswers answers = answers(ScriptedAnswers.stream(Framing.RESET, ScriptedAnswers.events(0, 2)),
					ScriptedAnswers.soundStream());
			assertThat(stream(answers, 2, true)).isEqualTo(Received.ALL_EVENTS);
		}

		@Test
		void aStreamWhoseConnectionIsResetBetweenEventsIsNotComplete() throws Exception {
			ScriptedAnswers answers = answers(ScriptedAnswers.stream(Framing.RESET, ScriptedAnswers.events(0, 2)));
			assertThat(stream(answers, 2, false)).isEqualTo(Received.TWO_EVENTS);
		}

		@Test
		void aResetAfterTheEndOfTheStreamDoesNotCutIt() throws Exception {
			ScriptedAnswers answers = answers(
					ScriptedAnswers.stream(Framing.CLOSE_THEN_RESET, ScriptedAnswers.events(0, 5)));
			assertThat(stream(answers, 2, false)).isEqualTo(Received.ALL_EVENTS);
		}

		@Test
		void theHeadOfAnotherAnswerIsNotForwardedAsAnEvent() throws Exception {
			String refusal = ScriptedAnswers.answer(503, ScriptedAnswers.notExecuted(), "refused");
			ScriptedAnswers answers = answers(
					ScriptedAnswers.stream(Framing.CLOSE, ScriptedAnswers.events(0, 2) + refusal),
					ScriptedAnswers.soundStream());
			assertThat(stream(answers, 2, true)).isEqualTo(Received.ALL_EVENTS);
		}

	}

	@Nested
	class AnotherAnswerFollowsInsideAnEvent {

		private static RawEndpointStandIn.Handler cutAndJoined(String length, long pauseMs) {
			return (socket, request) -> {
				String head = RawEndpointStandIn.head(request.attemptId(), EVENT_STREAM + length);
				RawEndpointStandIn.write(socket, head + ScriptedAnswers.events(0, 2));
				pause(pauseMs);
				RawEndpointStandIn.write(socket, PARTIAL_EVENT + head + ScriptedAnswers.events(0, 5));
				return false;
			};
		}

		private static void pause(long durationMs) throws IOException {
			try {
				Thread.sleep(durationMs);
			}
			catch (InterruptedException ex) {
				throw new IOException("the stand-in was closed", ex);
			}
		}

		@ParameterizedTest
		@ValueSource(strings = { "Connection: close\r\n", "Content-Length: 900\r\n" })
		void itsHeadIsNotForwardedAsAPartOfTheEvent(String length) throws Exception {
			assertThat(stream(answers(cutAndJoined(length, PAUSE_MS)), 1, false)).isEqualTo(Received.TWO_EVENTS);
		}

		@ParameterizedTest
		@ValueSource(strings = { "Connection: close\r\n", "Content-Length: 900\r\n" })
		void nothingIsForwardedOfAJoinedPart(String length) throws Exception {
			String head = EVENT_STREAM + length;
			RawEndpointStandIn.Handler atOnce = (socket, request) -> {
				String joined = RawEndpointStandIn.head(request.attemptId(), head);
				RawEndpointStandIn.write(socket,
						joined + ScriptedAnswers.events(0, 2) + PARTIAL_EVENT + joined + ScriptedAnswers.events(0, 5));
				return false;
			};
			assertThat(stream(answers(atOnce), 1, false)).isEqualTo(Received.UNKNOWN);
		}

		@Test
		void theStreamContinuesAtAnotherEndpoint() throws Exception {
			ScriptedAnswers answers = answers(cutAndJoined("Connection: close\r\n", PAUSE_MS),
					ScriptedAnswers.soundStream());
			assertThat(stream(answers, 2, true)).isEqualTo(Received.ALL_EVENTS);
		}

	}

}
