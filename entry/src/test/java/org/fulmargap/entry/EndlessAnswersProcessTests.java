package org.fulmargap.entry;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.fulmargap.platform.standin.CallerWire;
import org.fulmargap.platform.standin.EndpointStandIn;
import org.fulmargap.platform.standin.RawEndpointStandIn;
import org.fulmargap.platform.standin.StoreStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a process that runs out of memory when an endpoint sends many answers
 * without end at the same time.
 */
class EndlessAnswersProcessTests {

	private static final int VM = 9;

	private static final int ACTIONS = 60;

	@TempDir
	private Path directory;

	private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private StoreStandIn store;

	private EntryProcess vm;

	private int attempts;

	@BeforeEach
	void start() throws Exception {
		this.store = new StoreStandIn();
		this.store.put(CallerWire.OPERATOR_TOPIC, "config",
				CallerWire.CONFIG.formatted(1).replace("127.0.0.1", EntryProcess.ip(VM)));
	}

	@AfterEach
	void stop() {
		this.vm.close();
		this.store.close();
	}

	private CompletableFuture<HttpResponse<String>> send(String path) {
		this.attempts++;
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + this.vm.callerAddress() + path))
			.timeout(Duration.ofSeconds(8))
			.header("Authorization", "Token good")
			.header(CallerWire.ATTEMPT_ID, "attempt" + this.attempts)
			.header(CallerWire.TIME_LEFT_MS, "5000")
			.POST(HttpRequest.BodyPublishers.ofString("{}"))
			.build();
		return this.client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
	}

	private boolean isServing() {
		return send("/read/x").handle((response, ex) -> ex == null && response.statusCode() == 200).join();
	}

	@ParameterizedTest
	@EnumSource(
			names = { "ENDLESS_BODY", "ENDLESS_SMALL_CHUNKS", "HUGE_LENGTH", "ENDLESS_EVENT", "ENDLESS_FOREIGN_BODY" })
	void answersWithoutEndAreCutOffBeforeTheMemoryIsUsedUp(RawEndpointStandIn.Answer answer) throws Exception {
		try (RawEndpointStandIn faulty = new RawEndpointStandIn(answer);
				EndpointStandIn sound = new EndpointStandIn("core-1")) {
			this.store.put(CallerWire.ENDPOINT_TOPIC, "raw-1", faulty.record("core"));
			this.store.put(CallerWire.ENDPOINT_TOPIC, "core-1", sound.record("core", "a", "ready"));
			this.vm = new EntryProcess(VM, this.directory, this.store.address());
			Installation.await(this::isServing);
			List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
			for (int i = 0; i < ACTIONS; i++) {
				responses.add(send("/push/x"));
			}
			for (CompletableFuture<HttpResponse<String>> response : responses) {
				assertThat(response.get().statusCode()).isIn(200, 502, 503, 504);
			}
			assertThat(isServing()).isTrue();
			this.vm.signal("TERM");
			assertThat(this.vm.awaitExit()).isZero();
		}
	}

}
