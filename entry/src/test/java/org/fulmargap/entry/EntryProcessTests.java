package org.fulmargap.entry;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

import org.fulmargap.platform.standin.CallerWire;
import org.fulmargap.platform.standin.EndpointStandIn;
import org.fulmargap.platform.standin.StoreStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of entry VMs in separate processes, which are terminated, paused and killed by
 * signals while requests are in flight.
 */
class EntryProcessTests {

	private static final int VMS = 3;

	private static final int REQUESTS_PER_VM = 4;

	private static final String LAST_EVENT = "id: 4\ndata: token4\n\n";

	@TempDir
	private Path directory;

	private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private final List<EntryProcess> vms = new ArrayList<>();

	private StoreStandIn store;

	private EndpointStandIn engine;

	private EndpointStandIn stage;

	private int attempts;

	@BeforeEach
	void start() throws IOException, InterruptedException {
		this.store = new StoreStandIn();
		List<String> hosts = IntStream.rangeClosed(1, VMS).mapToObj(EntryProcess::ip).toList();
		this.store.put(CallerWire.OPERATOR_TOPIC, "config", CallerWire.streamsAt(hosts));
		this.engine = endpoint("pool-1", "pool");
		this.engine.workMs(250);
		this.stage = endpoint("stage-1", "stage");
		for (int i = 0; i < VMS; i++) {
			this.vms.add(new EntryProcess(i + 1, this.directory, this.store.address()));
		}
		for (EntryProcess vm : this.vms) {
			Installation.await(vm::isReady);
		}
	}

	@AfterEach
	void stop() {
		this.vms.forEach(EntryProcess::close);
		this.engine.close();
		this.stage.close();
		this.store.close();
	}

	private EndpointStandIn endpoint(String id, String service) throws IOException {
		EndpointStandIn endpoint = new EndpointStandIn(id);
		this.store.put(CallerWire.ENDPOINT_TOPIC, id, endpoint.record(service, "a", "ready"));
		return endpoint;
	}

	private CompletableFuture<HttpResponse<String>> stream(EntryProcess vm) {
		this.attempts++;
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + vm.callerAddress() + "/stream/x"))
			.timeout(Duration.ofSeconds(10))
			.header("Authorization", "Token good")
			.header(CallerWire.ATTEMPT_ID, "attempt" + this.attempts)
			.header(CallerWire.TIME_LEFT_MS, "6000")
			.header(CallerWire.ITEM_COUNTS, "2,3")
			.header(CallerWire.INPUT_KEY, "key")
			.header(CallerWire.TOKEN_USAGE, "100,20")
			.header(CallerWire.PROMPT_PARTS, "aa:60,bb:40")
			.POST(HttpRequest.BodyPublishers.ofString("{}"))
			.build();
		return this.client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
	}

	private List<CompletableFuture<HttpResponse<String>>> streams(List<EntryProcess> targets) {
		List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
		for (int i = 0; i < REQUESTS_PER_VM; i++) {
			targets.forEach((vm) -> responses.add(stream(vm)));
		}
		return responses;
	}

	private static void assertComplete(List<CompletableFuture<HttpResponse<String>>> responses) throws Exception {
		for (CompletableFuture<HttpResponse<String>> response : responses) {
			assertThat(response.get().statusCode()).isEqualTo(200);
			assertThat(response.get().body()).startsWith("id: 0\n").endsWith(LAST_EVENT);
		}
	}

	@Test
	void aTerminatedVmFinishesItsStreams() throws Exception {
		List<CompletableFuture<HttpResponse<String>>> responses = streams(this.vms);
		Installation.await(() -> this.engine.runs() == responses.size());
		this.vms.get(0).signal("TERM");
		assertComplete(responses);
		assertThat(this.vms.get(0).awaitExit()).isZero();
		assertComplete(streams(this.vms.subList(1, VMS)));
	}

	@Test
	void furtherSignalsDoNotEndTheDrainOfAVm() throws Exception {
		EntryProcess draining = this.vms.get(0);
		List<CompletableFuture<HttpResponse<String>>> responses = streams(List.of(draining));
		Installation.await(() -> this.engine.runs() == responses.size());
		for (String signal : List.of("TERM", "TERM", "HUP", "INT", "TERM")) {
			draining.signal(signal);
			Thread.sleep(100);
		}
		assertComplete(responses);
		assertThat(draining.awaitExit()).isZero();
	}

	@Test
	void aKilledVmFailsNoRequestsOfOtherVms() throws Exception {
		this.stage.workMs(400);
		for (int killed = 0; killed < VMS - 1; killed++) {
			List<EntryProcess> others = this.vms.subList(killed + 1, VMS);
			List<CompletableFuture<HttpResponse<String>>> responses = streams(others);
			int calls = this.stage.itemsByCall().size();
			Installation.await(() -> this.stage.itemsByCall().size() > calls);
			this.vms.get(killed).signal("KILL");
			assertComplete(responses);
		}
	}

	@Test
	void aPausedVmServesAgainAfterItContinues() throws Exception {
		EntryProcess paused = this.vms.get(0);
		paused.signal("STOP");
		assertComplete(streams(this.vms.subList(1, VMS)));
		paused.signal("CONT");
		Installation.await(paused::isReady);
		assertComplete(streams(this.vms));
	}

	@Test
	void requestsAreServedWhileTheStoreIsUnavailable() throws Exception {
		this.store.close();
		assertComplete(streams(this.vms));
	}

}
