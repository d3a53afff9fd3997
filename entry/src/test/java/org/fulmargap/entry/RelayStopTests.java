package org.fulmargap.entry;

import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

import org.fulmargap.platform.standin.CallerWire;
import org.fulmargap.platform.standin.RawEndpointStandIn;
import org.fulmargap.platform.standin.ScriptedAnswers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against answers that end early and reach the caller as complete, because a VM
 * that relays the connection to their endpoint has ended. System property:
 * {@code entry.landing}, the folder of another landing whose program relays.
 */
class RelayStopTests {

	private static final int RELAY = 1;

	private static final int ANSWERS = 24;

	private static final int PARTS = 60;

	private static final long PART_INTERVAL_MS = 40;

	/** Longer than the relay takes to stop. */
	private static final int LONG_PARTS = 260;

	private static final long BEGUN_MS = 800;

	private final List<RawEndpointStandIn> endpoints = new ArrayList<>();

	private final AtomicInteger begun = new AtomicInteger();

	private volatile Framing framing = Framing.CHUNKS;

	private volatile int parts = PARTS;

	private EndpointLinks links;

	private Installation installation;

	private EntryProcess relay;

	@BeforeEach
	void start(@TempDir Path directory) throws Exception {
		this.links = new EndpointLinks();
		this.installation = new Installation();
		this.installation.store()
			.put(CallerWire.OPERATOR_TOPIC, "config",
					CallerWire.CONFIG.formatted(1)
						.replace("\"timeout-ms\":2000", "\"timeout-ms\":20000")
						.replace("\"timeout-ms\":6000", "\"timeout-ms\":20000")
						.replace("\"resumable\":true", "\"resumable\":false"));
		for (String id : List.of("core-1", "pool-1", "pool-2")) {
			RawEndpointStandIn endpoint = new RawEndpointStandIn(this::answer);
			this.endpoints.add(endpoint);
			this.installation.store()
				.put(CallerWire.ENDPOINT_TOPIC, id, endpoint.record(id.substring(0, id.indexOf('-'))));
		}
		this.relay = new EntryProcess(RELAY, directory, this.installation.store().address());
		Installation.await(this.relay::isReady);
		this.installation.vm("vm-cut-off", this.links::route);
		this.installation.awaitReady();
		this.links.cut(EndpointLinks.Cut.REFUSED);
		Installation.await(() -> isWhole(send(0, Kind.STREAM)));
		this.begun.set(0);
	}

	@AfterEach
	void stop() throws Exception {
		this.installation.close();
		this.relay.close();
		this.links.close();
		for (RawEndpointStandIn endpoint : this.endpoints) {
			endpoint.close();
		}
	}

	private boolean answer(Socket socket, RawEndpointStandIn.Request request) throws IOException {
		boolean isStream = request.path().startsWith(Kind.STREAM.path);
		String type = (isStream) ? "Content-Type: text/event-stream\r\n" : "";
		RawEndpointStandIn.write(socket, RawEndpointStandIn.head(request.attemptId(), type + this.framing.header));
		this.begun.incrementAndGet();
		int count = (request.attemptId().endsWith("-0")) ? 1 : this.parts;
		for (int i = 0; i < count; i++) {
			this.framing.write(socket, ScriptedAnswers.event(i));
			pause();
		}
		return this.framing.end(socket);
	}

	private static void pause() throws IOException {
		try {
			Thread.sleep(PART_INTERVAL_MS);
		}
		catch (InterruptedException ex) {
			throw new IOException("the stand-in was closed", ex);
		}
	}

	private CompletableFuture<Outcome> send(int number, Kind kind) {
		int expected = (number == 0) ? 1 : this.parts;
		return this.installation
			.sendAsync(this.installation.request(0, kind.path + number)
				.header(CallerWire.ATTEMPT_ID, "attempt-" + number)
				.header(CallerWire.TIME_LEFT_MS, "20000"))
			.handle((response, ex) -> outcome(response, expected));
	}

	private static Outcome outcome(HttpResponse<String> response, int expected) {
		if (response == null || response.statusCode() >= 500) {
			return Outcome.BROKEN;
		}
		return response.body().equals(ScriptedAnswers.events(0, expected)) ? Outcome.WHOLE : Outcome.ENDED_EARLY;
	}

	private static boolean isWhole(CompletableFuture<Outcome> answer) {
		return answer.join() == Outcome.WHOLE;
	}

	private List<CompletableFuture<Outcome>> sendAll(Kind kind) throws InterruptedException {
		List<CompletableFuture<Outcome>> answers = new ArrayList<>();
		for (int i = 1; i <= ANSWERS; i++) {
			answers.add(send(i, kind));
		}
		Installation.await(() -> this.begun.get() >= ANSWERS);
		Thread.sleep(BEGUN_MS);
		return answers;
	}

	private static List<Outcome> outcomes(List<CompletableFuture<Outcome>> answers) {
		return answers.stream().map(CompletableFuture::join).toList();
	}

	@ParameterizedTest
	@CsvSource({ "STREAM,CONNECTION", "STREAM,CHUNKS", "PLAIN,CONNECTION", "PLAIN,CHUNKS" })
	void anAnswerIsNotEndedByTheKillOfItsRelay(Kind kind, Framing newFraming) throws Exception {
		this.framing = newFraming;
		List<CompletableFuture<Outcome>> answers = sendAll(kind);
		this.relay.signal("KILL");
		assertThat(outcomes(answers)).containsOnly(Outcome.BROKEN);
	}

	@ParameterizedTest
	@EnumSource
	void aStreamIsNotEndedByTheDrainOfItsRelay(Framing newFraming) throws Exception {
		this.framing = newFraming;
		this.parts = LONG_PARTS;
		List<CompletableFuture<Outcome>> answers = sendAll(Kind.STREAM);
		this.relay.signal("TERM");
		this.relay.signal("TERM");
		assertThat(outcomes(answers)).containsOnly(Outcome.BROKEN);
	}

	@ParameterizedTest
	@CsvSource({ "STREAM,CONNECTION", "STREAM,CHUNKS", "PLAIN,CONNECTION", "PLAIN,CHUNKS" })
	void anAnswerThatTheEndpointEndsIsWhole(Kind kind, Framing newFraming) throws Exception {
		this.framing = newFraming;
		assertThat(outcomes(sendAll(kind))).containsOnly(Outcome.WHOLE);
	}

	private enum Outcome {

		WHOLE, ENDED_EARLY, BROKEN

	}

	enum Kind {

		/** A stream that can't be resumed. */
		STREAM("/stream/"),

		/** An answer that is passed on as a whole. */
		PLAIN("/push/");

		private final String path;

		Kind(String path) {
			this.path = path;
		}

	}

	/**
	 * How the end of an answer is marked.
	 */
	enum Framing {

		/** By the end of the connection. */
		CONNECTION("Connection: close\r\n") {
			@Override
			void write(Socket socket, String part) throws IOException {
				RawEndpointStandIn.write(socket, part);
			}

			@Override
			boolean end(Socket socket) {
				return false;
			}
		},

		/** By the last chunk. */
		CHUNKS("Transfer-Encoding: chunked\r\n") {
			@Override
			void write(Socket socket, String part) throws IOException {
				RawEndpointStandIn.write(socket, Integer.toHexString(part.length()) + "\r\n" + part + "\r\n");
			}

			@Override
			boolean end(Socket socket) throws IOException {
				RawEndpointStandIn.write(socket, "0\r\n\r\n");
				return true;
			}
		};

		private final String header;

		Framing(String header) {
			this.header = header;
		}

		abstract void write(Socket socket, String part) throws IOException;

		abstract boolean end(Socket socket) throws IOException;

	}

}
