package org.fulmargap.entry;

import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

import org.fulmargap.platform.standin.CallerWire;
import org.fulmargap.platform.standin.RawEndpointStandIn;
import org.fulmargap.platform.standin.ScriptedAnswers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against answers that are put together from a copy of an earlier answer, which is
 * cut, and the true answer after it. Each place of the cut in a head is tried.
 */
class CutCopyTests {

	private static final int OK = 200;

	private static final int ERROR = 500;

	private static final String LONG_BODY = "x".repeat(800);

	/** Less than the idle timeout of a connection, in milliseconds. */
	private static final int CLOSE_POLLS = 400;

	private static final long ROUTE_TIMEOUT_MS = 2_000;

	/** The distance of the cuts on unused connections. */
	private static final int CUT_STEP = 7;

	private Installation installation;

	@BeforeEach
	void start() throws IOException {
		this.installation = new Installation();
		this.installation.retries(1, 10_000);
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

	private HttpResponse<String> send(String method, String path, String id) throws Exception {
		return this.installation.send(this.installation.request(0, path)
			.method(method, HttpRequest.BodyPublishers.noBody())
			.header(CallerWire.ATTEMPT_ID, id)
			.header(CallerWire.TIME_LEFT_MS, "5000"));
	}

	@ParameterizedTest
	@EnumSource
	void aFailureIsNotTakenForASuccessAfterACutCopyOfASuccess(Head head) throws Exception {
		Stutter stutter = new Stutter(head.text(OK), head.text(ERROR));
		try (RawEndpointStandIn endpoint = new RawEndpointStandIn(stutter)) {
			startVm(endpoint, "core");
			for (stutter.cut = 0; stutter.cut < head.length(OK); stutter.cut++) {
				assertThat(send("POST", "/push/x", "first" + stutter.cut).statusCode()).isEqualTo(OK);
				assertThat(send("POST", "/push/x", "true" + stutter.cut).statusCode())
					.as("cut after %s characters", stutter.cut)
					.isIn(ERROR, 502);
			}
			assertThat(stutter.copies).isEqualTo(head.length(OK));
		}
	}

	@ParameterizedTest
	@EnumSource
	void aRunIsNotTakenForARefusalAfterACutCopyOfARefusal(Head head) throws Exception {
		Stutter stutter = new Stutter(head.refusal(), head.text(OK));
		try (RawEndpointStandIn endpoint = new RawEndpointStandIn(stutter)) {
			startVm(endpoint, "core");
			for (stutter.cut = 0; stutter.cut < head.refusal().length(); stutter.cut++) {
				assertThat(send("POST", "/push/x", "first" + stutter.cut).statusCode()).isEqualTo(503);
				Thread.sleep(50);
				assertThat(send("POST", "/push/x", "true" + stutter.cut).statusCode())
					.as("cut after %s characters", stutter.cut)
					.isIn(OK, 502);
			}
			assertThat(stutter.repeated).isEmpty();
			assertThat(stutter.copies).isPositive();
		}
	}

	@ParameterizedTest
	@ValueSource(longs = { 0, 40 })
	void aCutCopyOnAnUnusedConnectionDoesNotReachTheNextCall(long delayMs) throws Exception {
		String copy = Head.ID_FIRST.text(OK);
		AtomicInteger cut = new AtomicInteger();
		Semaphore copies = new Semaphore(0);
		RawEndpointStandIn.Handler handler = (socket, request) -> {
			String head = Head.ID_FIRST.text(OK).formatted(request.attemptId());
			if (delayMs == 0) {
				RawEndpointStandIn.write(socket, head + "body" + copy.substring(0, cut.get()));
			}
			else {
				RawEndpointStandIn.write(socket, head + "body");
				pause(delayMs);
				RawEndpointStandIn.write(socket, copy.substring(0, cut.get()));
			}
			copies.release();
			return true;
		};
		try (RawEndpointStandIn endpoint = new RawEndpointStandIn(handler)) {
			startVm(endpoint, "core");
			for (int i = 1; i < copy.length(); i += CUT_STEP) {
				cut.set(i);
				for (int j = 0; j < 3; j++) {
					assertThat(send("POST", "/push/x", "cut" + i + "call" + j).statusCode())
						.as("cut after %s characters", i)
						.isEqualTo(OK);
					awaitClosed(endpoint, copies);
				}
			}
		}
	}

	@ParameterizedTest
	@ValueSource(ints = { 0, 1, 99 })
	void aCallDoesNotWaitForTheRestOfACutCopy(int bodyBytes) throws Exception {
		Map<Socket, String> firstIds = new HashMap<>();
		RawEndpointStandIn.Handler handler = (socket, request) -> {
			String firstId = firstIds.putIfAbsent(socket, request.attemptId());
			String answer = longAnswer(request.attemptId());
			String copy = (firstId != null) ? longAnswer(firstId) : "";
			int cut = copy.length() - LONG_BODY.length() + bodyBytes;
			RawEndpointStandIn.write(socket, copy.substring(0, Math.max(0, cut)) + answer);
			return true;
		};
		try (RawEndpointStandIn endpoint = new RawEndpointStandIn(handler)) {
			startVm(endpoint, "core");
			assertThat(send("POST", "/push/x", "first").statusCode()).isEqualTo(OK);
			long startedAtMs = System.currentTimeMillis();
			assertThat(send("POST", "/push/x", "second").statusCode()).isEqualTo(502);
			assertThat(System.currentTimeMillis() - startedAtMs).isLessThan(ROUTE_TIMEOUT_MS / 2);
			assertThat(send("POST", "/push/x", "third").body()).isEqualTo(LONG_BODY);
		}
	}

	@Test
	void aCallDoesNotWaitBehindACopyThatIsCutInItsTrailer() throws Exception {
		String trailer = "X-Check: some value\r\n\r\n";
		Map<Socket, String> firstIds = new HashMap<>();
		RawEndpointStandIn.Handler handler = (socket, request) -> {
			String firstId = firstIds.putIfAbsent(socket, request.attemptId());
			if (firstId == null) {
				return RawEndpointStandIn.answer(socket, request);
			}
			RawEndpointStandIn.write(socket, RawEndpointStandIn.head(firstId, "Transfer-Encoding: chunked\r\n")
					+ "4\r\nbody\r\n0\r\n" + trailer.substring(0, 12));
			return RawEndpointStandIn.answer(socket, request);
		};
		try (RawEndpointStandIn endpoint = new RawEndpointStandIn(handler)) {
			startVm(endpoint, "core");
			assertThat(send("POST", "/push/x", "first").statusCode()).isEqualTo(OK);
			long startedAtMs = System.currentTimeMillis();
			assertThat(send("POST", "/push/x", "second").statusCode()).isEqualTo(502);
			assertThat(System.currentTimeMillis() - startedAtMs).isLessThan(ROUTE_TIMEOUT_MS / 2);
		}
	}

	@ParameterizedTest
	@ValueSource(ints = { 0, 1, 99, 750, 780, 791, 792, 799 })
	void anAnswerThatIsCutAndThenSentWholeIsNotForwarded(int bodyBytes) throws Exception {
		RawEndpointStandIn.Handler handler = (socket, request) -> {
			String answer = longAnswer(request.attemptId());
			int cut = answer.length() - LONG_BODY.length() + bodyBytes;
			RawEndpointStandIn.write(socket, answer.substring(0, cut) + answer);
			return true;
		};
		try (RawEndpointStandIn endpoint = new RawEndpointStandIn(handler)) {
			startVm(endpoint, "core");
			assertThat(send("POST", "/push/x", "cut").statusCode()).isEqualTo(502);
		}
	}

	@Test
	void anAnswerMayNameItsProtocolAndQuoteItsRequest() throws Exception {
		RawEndpointStandIn.Handler handler = (socket, request) -> {
			String id = ScriptedAnswers.idHeader(request.attemptId());
			RawEndpointStandIn.write(socket,
					ScriptedAnswers.answer(OK, id + ScriptedAnswers.signature() + "Via: HTTP/1.1 192.168.0.1:8080\r\n",
							"POST /push/x HTTP/1.1\r\n" + id + "\r\n"));
			return true;
		};
		try (RawEndpointStandIn endpoint = new RawEndpointStandIn(handler)) {
			startVm(endpoint, "core");
			assertThat(send("POST", "/push/x", "quoted").statusCode()).isEqualTo(OK);
		}
	}

	@Test
	void aSecondAnswerBehindAWholeOneDoesNotSpoilIt() throws Exception {
		RawEndpointStandIn.Handler handler = (socket, request) -> {
			String answer = longAnswer(request.attemptId());
			RawEndpointStandIn.write(socket, answer + answer);
			return true;
		};
		try (RawEndpointStandIn endpoint = new RawEndpointStandIn(handler)) {
			startVm(endpoint, "core");
			for (int i = 0; i < 5; i++) {
				assertThat(send("POST", "/push/x", "twice" + i).body()).isEqualTo(LONG_BODY);
			}
		}
	}

	@Test
	void aStreamThatIsCutAndThenSentWholeDoesNotBeginWithItsHead() throws Exception {
		String events = ScriptedAnswers.events(0, 5);
		RawEndpointStandIn.Handler handler = (socket, request) -> {
			String head = RawEndpointStandIn.head(request.attemptId(),
					"Content-Type: text/event-stream\r\n" + "Transfer-Encoding: chunked\r\n");
			String answer = head + Integer.toHexString(events.length() + LONG_BODY.length()) + "\r\n" + events + ":"
					+ LONG_BODY.substring(1) + "\r\n0\r\n\r\n";
			RawEndpointStandIn.write(socket, answer.substring(0, head.length() + 20) + answer);
			return true;
		};
		try (RawEndpointStandIn endpoint = new RawEndpointStandIn(handler)) {
			startVm(endpoint, "pool");
			assertThat(this.installation.send(this.installation.attempt(0, "/stream/x")).statusCode()).isEqualTo(502);
		}
	}

	private static String longAnswer(String id) {
		return ScriptedAnswers.answer(OK, ScriptedAnswers.idHeader(id) + ScriptedAnswers.signature(), LONG_BODY);
	}

	// Waits until the copy is written, and its connection is closed or would be used
	// again.
	private static void awaitClosed(RawEndpointStandIn endpoint, Semaphore copies) throws InterruptedException {
		copies.acquire();
		for (int i = 0; i < CLOSE_POLLS && endpoint.openConnections() > 0; i++) {
			Thread.sleep(1);
		}
	}

	private static void pause(long durationMs) throws IOException {
		try {
			Thread.sleep(durationMs);
		}
		catch (InterruptedException ex) {
			throw new IOException("the stand-in was closed", ex);
		}
	}

	/**
	 * The head of an answer, with the id in several places.
	 */
	enum Head {

		/** The id comes first. */
		ID_FIRST(ScriptedAnswers.idHeader("%s") + ScriptedAnswers.signature() + "Content-Type: text/plain\r\n"),

		/** The id comes last. */
		ID_LAST("Server: stand-in\r\n" + ScriptedAnswers.signature() + ScriptedAnswers.idHeader("%s"));

		private final String headers;

		Head(String headers) {
			this.headers = headers;
		}

		private String text(int status) {
			return "HTTP/1.1 " + status + " Some Status\r\n" + this.headers + "Content-Length: 4\r\n\r\n";
		}

		private String refusal() {
			return "HTTP/1.1 503 Service Unavailable\r\n" + ScriptedAnswers.notExecuted() + this.headers
					+ "Content-Length: 4\r\n\r\n";
		}

		private int length(int status) {
			return text(status).length();
		}

	}

	/**
	 * Answers the first request of a connection, and writes a part of this answer once
	 * more before the answers to all others.
	 */
	private static final class Stutter implements RawEndpointStandIn.Handler {

		private final String firstHead;

		private final String trueHead;

		private final Map<Socket, String> firstIds = new HashMap<>();

		private final Set<String> ids = new HashSet<>();

		private final Set<String> repeated = new HashSet<>();

		private volatile int cut;

		private volatile int copies;

		private Stutter(String firstHead, String trueHead) {
			this.firstHead = firstHead;
			this.trueHead = trueHead;
		}

		@Override
		public synchronized boolean write(Socket socket, RawEndpointStandIn.Request request) throws IOException {
			if (!this.ids.add(request.attemptId())) {
				this.repeated.add(request.attemptId());
			}
			String firstId = this.firstIds.putIfAbsent(socket, request.attemptId());
			if (firstId == null) {
				RawEndpointStandIn.write(socket, this.firstHead.formatted(request.attemptId()) + "body");
				return !request.attemptId().startsWith("true");
			}
			this.copies++;
			String copy = this.firstHead.formatted(firstId);
			RawEndpointStandIn.write(socket, copy.substring(0, Math.min(this.cut, copy.length()))
					+ this.trueHead.formatted(request.attemptId()) + "body");
			return false;
		}

	}

}
