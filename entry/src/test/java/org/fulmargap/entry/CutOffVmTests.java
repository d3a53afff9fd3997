package org.fulmargap.entry;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.fulmargap.platform.standin.CallerWire;
import org.fulmargap.platform.standin.EndpointStandIn;
import org.fulmargap.platform.standin.RawEndpointStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a VM that is cut off from all endpoints and refuses what it could serve
 * through other VMs.
 */
class CutOffVmTests {

	private static final int CUT_OFF = 0;

	private static final int OTHER = 1;

	private static final int REQUESTS = 20;

	private static final int WORK_MS = 200;

	/** Far less than the grace period. */
	private static final long MAX_IDLE_DRAIN_MS = 4_000;

	private final LogLines log = new LogLines();

	private final List<EndpointStandIn> endpoints = new ArrayList<>();

	private Installation installation;

	private EndpointLinks links;

	@BeforeEach
	void start() throws Exception {
		this.links = new EndpointLinks();
		this.installation = new Installation();
		for (String service : List.of("core", "stage", "pool")) {
			this.endpoints.add(this.installation.endpoint(service + "-1", service));
			this.endpoints.add(this.installation.endpoint(service + "-2", service));
		}
		for (EndpointStandIn endpoint : this.endpoints) {
			this.links.route(TcpForwarder.address(endpoint.address()));
		}
		this.installation.vm("vm-cut-off", this.links::route);
		this.installation.vm("vm-other");
		this.installation.awaitReady();
		Installation.await(() -> isServed(CUT_OFF) && isServed(OTHER));
	}

	@AfterEach
	void stop() throws Exception {
		this.installation.close();
		this.links.close();
		this.log.close();
	}

	private boolean isServed(int vm) {
		return status(this.installation.pipeline(vm)) == 200 && status(this.installation.attempt(vm, "/push/x")) == 200;
	}

	private int status(HttpRequest.Builder request) {
		return this.installation.sendAsync(request)
			.handle((response, ex) -> (ex != null) ? 0 : response.statusCode())
			.join();
	}

	private boolean isCutOff(int vm) {
		try {
			return this.installation.metrics(vm).contains("endpoints_unreachable 1");
		}
		catch (IOException ex) {
			return false;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

	private void sendUntilInTouch() throws InterruptedException {
		long endMs = System.currentTimeMillis() + Installation.CONTACT_MS;
		List<CompletableFuture<?>> requests = new ArrayList<>();
		while (System.currentTimeMillis() < endMs) {
			requests.add(this.installation.sendAsync(this.installation.pipeline(CUT_OFF)));
			requests.add(this.installation.sendAsync(this.installation.attempt(CUT_OFF, "/read/x")));
			Thread.sleep(100);
		}
		requests.forEach((request) -> request.handle((response, ex) -> null).join());
	}

	@ParameterizedTest
	@EnumSource
	void callersOfAVmThatReachesNoEndpointAreServed(EndpointLinks.Cut cut) throws Exception {
		this.links.cut(cut);
		sendUntilInTouch();
		for (int i = 0; i < REQUESTS; i++) {
			assertThat(status(this.installation.attempt(CUT_OFF, "/push/" + i))).isEqualTo(200);
			assertThat(status(this.installation.pipeline(CUT_OFF))).isEqualTo(200);
			assertThat(status(this.installation.attempt(OTHER, "/read/" + i))).isEqualTo(200);
		}
		assertThat(isCutOff(CUT_OFF)).isTrue();
		assertThat(isCutOff(OTHER)).isFalse();
		assertThat(this.log.contain("relayed_connection", "relay=vm-other")).isTrue();
		assertThat(this.log.contain("strike", "endpoint=.*")).isFalse();
		this.links.restore();
		Installation.await(() -> !isCutOff(CUT_OFF) && isServed(CUT_OFF));
	}

	@Test
	void endpointsThatCrashDoNotMakeAVmCutOff() throws Exception {
		this.endpoints.get(0).close();
		this.endpoints.get(2).close();
		this.endpoints.get(4).close();
		for (int i = 0; i < REQUESTS; i++) {
			status(this.installation.pipeline(OTHER));
			status(this.installation.attempt(OTHER, "/read/" + i));
		}
		assertThat(isServed(OTHER)).isTrue();
		assertThat(this.log.contain("endpoints_unreachable", "relay_available=.*")).isFalse();
	}

	@Test
	void aVmWithoutRelayRefusesAtOnce() throws Exception {
		this.installation.vm(OTHER).close();
		this.links.cut(EndpointLinks.Cut.RESET);
		Installation.await(() -> {
			isServed(CUT_OFF);
			return this.log.contain("refused", "reason=CUT_OFF");
		});
		this.links.restore();
		Installation.await(() -> isServed(CUT_OFF));
	}

	@Test
	void aRelayThatDrainsCutsNoRequest() throws Exception {
		this.installation.vm("vm-next");
		this.installation.awaitReady();
		this.links.cut(EndpointLinks.Cut.REFUSED);
		sendUntilInTouch();
		this.endpoints.forEach((endpoint) -> endpoint.workMs(WORK_MS));
		CompletableFuture<Boolean> drained = CompletableFuture.supplyAsync(this::drainOther);
		List<CompletableFuture<Integer>> statuses = new ArrayList<>();
		while (!drained.isDone()) {
			statuses.add(this.installation.sendAsync(this.installation.attempt(CUT_OFF, "/push/x"))
				.handle((response, ex) -> (ex != null) ? 0 : response.statusCode()));
			Thread.sleep(50);
		}
		assertThat(drained.join()).isTrue();
		assertThat(statuses).allSatisfy((status) -> assertThat(status.join()).isEqualTo(200));
	}

	@Test
	void aRelayThatDrainsDoesNotWaitForIdleConnections() throws Exception {
		try (RawEndpointStandIn patient = new RawEndpointStandIn((socket, request) -> {
			RawEndpointStandIn.write(socket,
					RawEndpointStandIn.head(request.attemptId(), "Keep-Alive: timeout=30\r\nContent-Length: 0\r\n"));
			return true;
		})) {
			this.installation.store().put(CallerWire.ENDPOINT_TOPIC, "core-3", patient.record("core"));
			this.links.cut(EndpointLinks.Cut.REFUSED);
			sendUntilInTouch();
			Installation.await(() -> {
				status(this.installation.attempt(CUT_OFF, "/read/x"));
				return patient.openConnections() > 0;
			});
			long beganAtMs = System.currentTimeMillis();
			assertThat(this.installation.vm(OTHER).drain()).isTrue();
			assertThat(System.currentTimeMillis() - beganAtMs).isLessThan(MAX_IDLE_DRAIN_MS);
		}
	}

	private boolean drainOther() {
		try {
			boolean drained = this.installation.vm(OTHER).drain();
			this.installation.vm(OTHER).close();
			return drained;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

}
