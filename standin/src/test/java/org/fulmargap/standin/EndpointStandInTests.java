package org.fulmargap.standin;

import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import org.fulmargap.standin.EndpointOptions.ColdOverload;
import org.fulmargap.standin.LoopbackClient.Answer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Tests of {@link EndpointStandIn}. If an injected fault had no effect, the failure tests
 * that use it would pass without testing anything.
 */
@Timeout(60)
class EndpointStandInTests {

	private final LoopbackClient client = new LoopbackClient(Duration.ofSeconds(20), 64);

	private final LoopbackClient control = new LoopbackClient(Duration.ofSeconds(20), 4);

	private EndpointStandIn endpoint;

	@AfterEach
	void close() {
		this.client.close();
		this.control.close();
		if (this.endpoint != null) {
			this.endpoint.close();
		}
	}

	private void start(EndpointOptions options) throws IOException {
		this.endpoint = new EndpointStandIn(options);
		this.endpoint.start();
	}

	private String url(String path) {
		return "http://127.0.0.1:" + this.endpoint.port() + path;
	}

	private Answer faults(Object faults) throws IOException {
		return this.control.send("POST", url("/control/faults"), faults);
	}

	private JsonNode executions() throws IOException {
		return this.control.send("GET", url("/control/executions"), null).json();
	}

	private CompletableFuture<Answer> stage(String kind, String attempt, String priority, String input) {
		return this.client.sendAsync("POST", url("/v1/stages/" + kind),
				Map.of("Fulmargap-Attempt", attempt, "Fulmargap-Priority", priority, "Idempotency-Key", "k-" + input),
				Map.of("request_id", "r", "input", input, "max_tokens", 4, "start_index", 0));
	}

	private Answer stage(String kind, String attempt, String input) throws Exception {
		return stage(kind, attempt, "NORMAL", input).get(20, TimeUnit.SECONDS);
	}

	private void awaitLoad(String field, int value) throws IOException {
		while (this.control.send("GET", url("/v1/load"), null).json().path(field).asInt() != value) {
			Thread.onSpinWait();
		}
	}

	@Nested
	class Answers {

		@Test
		void containTheInputDigestAndTheAttempt() throws Exception {
			start(EndpointOptions.warm("e", 0));
			Answer answer = stage("action", "i/1/0/0", "push 7");
			assertThat(answer.headers()).containsEntry("Fulmargap-Attempt", "i/1/0/0");
			assertThat(StageOutput.belongsTo(answer.json().path("output").asText(), "push 7")).isTrue();
			assertThat(StageOutput.belongsTo(answer.json().path("output").asText(), "push 8")).isFalse();
			assertThat(executions().path("keys").path("k-push 7").asInt()).isEqualTo(1);
		}

		@Test
		void streamTokensUpToTheEndMarker() throws Exception {
			start(EndpointOptions.warm("e", 0));
			assertThat(stage("generate", "i/1/0/0", "text").body()).contains("\"index\":0", "\"index\":3")
				.doesNotContain("\"index\":4")
				.endsWith("event: done\ndata: {\"count\":4}\n\n");
		}

	}

	@Nested
	class Faults {

		@Test
		void withUnknownNameAreRefused() throws Exception {
			start(EndpointOptions.warm("e", 0));
			assertThat(faults(Map.of("no_such_fault", true)).status()).isEqualTo(400);
			assertThat(faults(Map.of("no_such_fault", true)).errorType()).isEqualTo("UNKNOWN_FAULT");
			assertThat(faults(Map.of("slow_factor", -1)).errorType()).isEqualTo("INVALID_FAULT");
		}

		@Test
		void closedConnectionBeforeTheRunLeavesNoExecution() throws Exception {
			start(EndpointOptions.warm("e", 0));
			faults(Map.of("close_before", true, "limit", 1));
			assertThatThrownBy(() -> stage("action", "i/1/0/0", "a")).hasRootCauseInstanceOf(IOException.class);
			assertThat(executions().path("kinds").path("action").asInt()).isZero();
			assertThat(stage("action", "i/1/0/1", "a").status()).isEqualTo(200);
		}

		@Test
		void closedConnectionAfterTheRunLeavesOneExecution() throws Exception {
			start(EndpointOptions.warm("e", 0));
			faults(Map.of("close_after", true, "match", "a"));
			assertThatThrownBy(() -> stage("action", "i/1/0/0", "a")).hasRootCauseInstanceOf(IOException.class);
			assertThat(executions().path("keys").path("k-a").asInt()).isEqualTo(1);
			assertThat(stage("action", "i/2/0/0", "b").status()).isEqualTo(200);
		}

		@Test
		void openConnectionsAreSilencedWhileNewOnesAreServed() throws Exception {
			start(EndpointOptions.warm("e", 0));
			faults(Map.of("hold", true));
			CompletableFuture<Answer> silent = stage("encode", "i/1/0/0", "NORMAL", "a");
			awaitLoad("in_flight", 1);
			faults(Map.of("silence_open_connections", true, "hold", false));
			EndpointStandInTests.this.control.closeIdleConnections();
			awaitLoad("in_flight", 0);
			assertThat(stage("encode", "i/2/0/0", "b").status()).isEqualTo(200);
			assertThat(silent).isNotDone();
		}

		@Test
		void crossedAnswerHasAnotherAttemptAndAnotherOutput() throws Exception {
			start(EndpointOptions.warm("e", 0));
			faults(Map.of("cross_answer", true));
			Answer answer = stage("encode", "i/1/0/0", "a");
			assertThat(answer.headers().get("Fulmargap-Attempt")).isNotEqualTo("i/1/0/0");
			assertThat(StageOutput.belongsTo(answer.json().path("output").asText(), "a")).isFalse();
		}

		@Test
		void duplicatedAnswerArrivesAsTheAnswerToTheNextRequest() throws Exception {
			start(EndpointOptions.warm("e", 0));
			faults(Map.of("duplicate_answer", true, "limit", 1));
			stage("encode", "i/1/0/0", "a");
			Answer next = stage("encode", "i/2/0/0", "b");
			assertThat(next.headers()).containsEntry("Fulmargap-Attempt", "i/1/0/0");
		}

		@Test
		void truncatedStreamHasNoEndMarker() throws Exception {
			start(EndpointOptions.warm("e", 0));
			faults(Map.of("truncate_answer", "END"));
			assertThat(stage("generate", "i/1/0/0", "a").body()).contains("\"index\":1").doesNotContain("done");
			faults(Map.of("truncate_answer", "CLOSE"));
			assertThatThrownBy(() -> stage("generate", "i/1/0/1", "a")).hasRootCauseInstanceOf(IOException.class);
		}

		@Test
		void markedInputClosesAllConnectionsAndTheEndpointRestartsAsNewIncarnation() throws Exception {
			start(EndpointOptions.warm("e", 0));
			String before = stage("encode", "i/1/0/0", "a").headers().get("Fulmargap-Incarnation");
			faults(Map.of("crash_marker", "poison", "crash_down_ms", 100, "hold", true));
			CompletableFuture<Answer> concurrent = stage("encode", "i/2/0/0", "NORMAL", "b");
			awaitLoad("in_flight", 1);
			assertThatThrownBy(() -> stage("action", "i/3/0/0", "poison")).hasRootCauseInstanceOf(IOException.class);
			assertThatThrownBy(() -> concurrent.get(20, TimeUnit.SECONDS)).hasRootCauseInstanceOf(IOException.class);
			Answer health = null;
			while (health == null) {
				try {
					health = health();
				}
				catch (IOException ex) {
					Thread.onSpinWait();
				}
			}
			assertThat(health.headers().get("Fulmargap-Incarnation")).isNotEqualTo(before);
			assertThat(executions().path("crashes").asInt()).isEqualTo(1);
			assertThat(executions().path("keys").path("k-poison").asInt()).isEqualTo(1);
		}

		private Answer health() throws IOException {
			return EndpointStandInTests.this.control.send("GET", url("/health"), null);
		}

	}

	@Nested
	class Scheduling {

		private static EndpointOptions oneSlot() {
			return new EndpointOptions("e", 0, 1, 8, 1, 1_000, ColdOverload.FAIL, 1, 0, 1, 64, 0);
		}

		@Test
		void servesHigherPriorityFirst() throws Exception {
			start(oneSlot());
			faults(Map.of("hold", true));
			CompletableFuture<Answer> first = stage("encode", "i/1/0/0", "NORMAL", "first");
			awaitLoad("in_flight", 1);
			CompletableFuture<Answer> low = stage("encode", "i/2/0/0", "LOW", "low");
			awaitLoad("queued", 1);
			CompletableFuture<Answer> high = stage("encode", "i/3/0/0", "HIGH", "high");
			awaitLoad("queued", 2);
			faults(Map.of("hold", false));
			CompletableFuture.allOf(first, low, high).get(20, TimeUnit.SECONDS);
			assertThat(executions().path("attempts").fieldNames()).toIterable()
				.containsExactly("i/1/0/0", "i/3/0/0", "i/2/0/0");
		}

		@Test
		void cancelledWhileQueuedDoesNotRun() throws Exception {
			start(oneSlot());
			faults(Map.of("hold", true));
			CompletableFuture<Answer> first = stage("action", "i/1/0/0", "NORMAL", "first");
			awaitLoad("in_flight", 1);
			CompletableFuture<Answer> queued = stage("action", "i/2/0/0", "NORMAL", "queued");
			awaitLoad("queued", 1);
			assertThat(cancel("/v1/attempts/i%2F2%2F0%2F0").json().path("cancelled").asBoolean()).isTrue();
			assertThat(queued.get(20, TimeUnit.SECONDS).headers()).containsEntry("Fulmargap-Not-Run", "true");
			assertThat(cancel("/v1/attempts/i/1/0/0").json().path("cancelled").asBoolean()).isFalse();
			faults(Map.of("hold", false));
			assertThat(first.get(20, TimeUnit.SECONDS).status()).isEqualTo(200);
			assertThat(executions().path("kinds").path("action").asInt()).isEqualTo(1);
		}

		private Answer cancel(String path) throws IOException {
			return EndpointStandInTests.this.control.send("DELETE", url(path), null);
		}

		@Test
		void coldEndpointFailsBeyondItsCapacity() throws Exception {
			start(EndpointOptions.warm("e", 0).cold(1, ColdOverload.FAIL));
			faults(Map.of("hold", true));
			CompletableFuture<Answer> first = stage("encode", "i/1/0/0", "NORMAL", "a");
			awaitLoad("in_flight", 1);
			assertThat(stage("encode", "i/2/0/0", "b").status()).isEqualTo(500);
			faults(Map.of("hold", false));
			assertThat(first.get(20, TimeUnit.SECONDS).status()).isEqualTo(200);
			assertThat(executions().path("overloads").asInt()).isEqualTo(1);
		}

	}

}
