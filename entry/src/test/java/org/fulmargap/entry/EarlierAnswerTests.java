package org.fulmargap.entry;

import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;

import org.fulmargap.platform.standin.CallerWire;
import org.fulmargap.platform.standin.EarlyRefusingStandIn;
import org.fulmargap.platform.standin.EndpointStandIn;
import org.fulmargap.platform.standin.RawEndpointStandIn;
import org.fulmargap.platform.standin.ScriptedAnswers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests with endpoints that send an earlier answer once more, before or within the answer
 * to a later request on the same connection. A request that may have run must neither be
 * refused nor sent to another endpoint.
 */
class EarlierAnswerTests {

	private static final long REFUSED_PAUSE_MS = 100;

	/** Half of the timeout of the route. */
	private static final long SOON_MS = 1_000;

	private static final String LONG_BODY = "x".repeat(3 << 20);

	private final List<RawEndpointStandIn> endpoints = new ArrayList<>();

	private Installation installation;

	@BeforeEach
	void start() throws IOException {
		this.installation = new Installation();
	}

	@AfterEach
	void stop() throws IOException {
		this.installation.close();
		for (RawEndpointStandIn endpoint : this.endpoints) {
			endpoint.close();
		}
	}

	private void startVm(RawEndpointStandIn.Handler answers, int endpointCount) throws Exception {
		for (int i = 0; i < endpointCount; i++) {
			listEndpoint(answers, "core-" + i);
		}
		startVm();
	}

	private void startVm() throws Exception {
		this.installation.vm("vm-0");
		this.installation.awaitReady();
	}

	private void listEndpoint(RawEndpointStandIn.Handler answers, String... ids) throws IOException {
		RawEndpointStandIn endpoint = new RawEndpointStandIn(answers);
		this.endpoints.add(endpoint);
		for (String id : ids) {
			this.installation.store().put(CallerWire.ENDPOINT_TOPIC, id, endpoint.record("core"));
		}
	}

	private HttpResponse<String> send(String path) throws Exception {
		return this.installation.send(this.installation.attempt(0, path));
	}

	private void refuseOnce() throws Exception {
		assertThat(send("/push/x").statusCode()).isEqualTo(503);
		Thread.sleep(REFUSED_PAUSE_MS);
	}

	@Test
	void aRequestThatRunsIsNotRefusedByAnEarlierRefusalWithoutId() throws Exception {
		RefusingAgain answers = new RefusingAgain(
				(id) -> ScriptedAnswers.answer(503, ScriptedAnswers.notExecuted(), ""));
		startVm(answers, 1);
		refuseOnce();
		assertThat(send("/push/x").statusCode()).isEqualTo(502);
		assertThat(answers.runs()).isEqualTo(1);
	}

	@Test
	void aRequestThatRunsIsNotSentToAnotherEndpointAfterAnEarlierRefusalWithoutId() throws Exception {
		RefusingAgain answers = new RefusingAgain(
				(id) -> ScriptedAnswers.answer(503, ScriptedAnswers.notExecuted(), ""));
		startVm(answers, 2);
		refuseOnce();
		assertThat(send("/push/x").statusCode()).isEqualTo(502);
		assertThat(answers.runs()).isEqualTo(1);
	}

	@Test
	void anEarlierErrorWithoutIdIsNotForwarded() throws Exception {
		RefusingAgain answers = new RefusingAgain(
				(id) -> ScriptedAnswers.answer(404, ScriptedAnswers.signature(), "earlier"));
		startVm(answers, 1);
		refuseOnce();
		HttpResponse<String> response = send("/push/x");
		assertThat(response.statusCode()).isEqualTo(502);
		assertThat(response.body()).doesNotContain("earlier");
	}

	@Test
	void anEarlierRefusalWithItsIdIsSkipped() throws Exception {
		RefusingAgain answers = new RefusingAgain(RefusingAgain::refusal);
		startVm(answers, 2);
		refuseOnce();
		assertThat(send("/push/x").statusCode()).isEqualTo(200);
		assertThat(answers.runs()).isEqualTo(1);
	}

	@Test
	void anInterimAnswerIsNoRefusal() throws Exception {
		RefusingAgain answers = new RefusingAgain(
				(id) -> "HTTP/1.1 103 Early Hints\r\n" + ScriptedAnswers.notExecuted() + "\r\n");
		startVm(answers, 2);
		refuseOnce();
		assertThat(send("/push/x").statusCode()).isEqualTo(200);
		assertThat(answers.runs()).isEqualTo(1);
	}

	@Test
	void aRequestThatRunsIsNotRefusedByTheRefusalOfAnotherEndpointAtTheSameAddress() throws Exception {
		RefusingAgain answers = new RefusingAgain(RefusingAgain::refusal);
		listEndpoint(answers, "core-1", "core-2");
		startVm();
		assertThat(send("/push/x").statusCode()).isEqualTo(503);
		assertThat(answers.runs()).isZero();
	}

	@Test
	void aRefusalThatFollowsAnAnswerThatHasBegunIsNoRefusal() throws Exception {
		ScriptedAnswers answers = new ScriptedAnswers(List.of((socket, request) -> {
			socket.getOutputStream()
				.write(("HTTP/1.1 200 OK\r\n" + ScriptedAnswers.idHeader(request.attemptId())
						+ ScriptedAnswers.signature() + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"
						+ RefusingAgain.refusal(request.attemptId()))
					.getBytes());
			return true;
		}));
		startVm(answers, 2);
		assertThat(send("/push/x").statusCode()).isEqualTo(502);
		assertThat(answers.requests()).hasSize(1);
	}

	@Test
	void aRequestThatIsRefusedBeforeItsBodyIsReadRunsOnceElsewhere() throws Exception {
		try (EarlyRefusingStandIn early = new EarlyRefusingStandIn()) {
			// Of two endpoints that seem equal, the one that was listed first is called.
			this.installation.store().put(CallerWire.ENDPOINT_TOPIC, "core-0", early.record("core"));
			EndpointStandIn other = this.installation.endpoint("core-9", "core");
			startVm();
			for (int i = 0; i < 8; i++) {
				assertThat(this.installation
					.send(this.installation.attempt(0, "/push/x").POST(HttpRequest.BodyPublishers.ofString(LONG_BODY)))
					.statusCode()).isEqualTo(200);
				Thread.sleep(REFUSED_PAUSE_MS);
			}
			assertThat(early.refusals()).isPositive();
			assertThat(early.foreignBytes()).isZero();
			assertThat(other.runs()).isEqualTo(8);
		}
	}

	@Test
	void aCallerWithoutAttemptIdLearnsThatItsRequestHasNotRun() throws Exception {
		startVm(new ScriptedAnswers(List.of((socket, request) -> {
			socket.getOutputStream().write(ScriptedAnswers.answer(400, ScriptedAnswers.notExecuted(), "").getBytes());
			return true;
		})), 1);
		assertThat(this.installation.send(this.installation.request(0, "/push/x")).statusCode()).isEqualTo(503);
	}

	@Test
	void aCallDoesNotWaitBehindAnEarlierAnswerWithoutAnEnd() throws Exception {
		RefusingAgain answers = new RefusingAgain(
				(id) -> "HTTP/1.1 503 Status\r\n" + ScriptedAnswers.idHeader(id) + "\r\nbusy");
		startVm(answers, 1);
		refuseOnce();
		long startedAtMs = System.currentTimeMillis();
		assertThat(send("/push/x").statusCode()).isEqualTo(502);
		assertThat(System.currentTimeMillis() - startedAtMs).isLessThan(SOON_MS);
	}

	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void anAnswerWithTheIdsOfTwoRequestsIsNotForwarded(boolean ownFirst) throws Exception {
		startVm(new ScriptedAnswers(List.of((socket, request) -> {
			String own = ScriptedAnswers.idHeader(request.attemptId());
			String other = ScriptedAnswers.idHeader("other");
			String ids = (ownFirst) ? own + other : other + own;
			RawEndpointStandIn.write(socket, ScriptedAnswers.answer(200, ids + ScriptedAnswers.signature(), "done"));
			return true;
		})), 1);
		long startedAtMs = System.currentTimeMillis();
		assertThat(send("/push/x").statusCode()).isEqualTo(502);
		assertThat(System.currentTimeMillis() - startedAtMs).isLessThan(SOON_MS);
	}

	/**
	 * Refuses the first request on each connection, and sends an earlier answer before
	 * the answers to the others.
	 */
	private static final class RefusingAgain implements RawEndpointStandIn.Handler {

		private final UnaryOperator<String> earlierAnswer;

		private final Map<Socket, String> refusedAttempts = new HashMap<>();

		private int runs;

		private RefusingAgain(UnaryOperator<String> earlierAnswer) {
			this.earlierAnswer = earlierAnswer;
		}

		static String refusal(String attemptId) {
			return ScriptedAnswers.answer(503, ScriptedAnswers.idHeader(attemptId) + ScriptedAnswers.notExecuted(), "");
		}

		@Override
		public synchronized boolean write(Socket socket, RawEndpointStandIn.Request request) throws IOException {
			String refused = this.refusedAttempts.putIfAbsent(socket, request.attemptId());
			if (refused == null) {
				socket.getOutputStream().write(refusal(request.attemptId()).getBytes());
				return true;
			}
			this.runs++;
			String answer = ScriptedAnswers.answer(200,
					ScriptedAnswers.idHeader(request.attemptId()) + ScriptedAnswers.signature(), "done");
			socket.getOutputStream().write((this.earlierAnswer.apply(refused) + answer).getBytes());
			return true;
		}

		synchronized int runs() {
			return this.runs;
		}

	}

}
