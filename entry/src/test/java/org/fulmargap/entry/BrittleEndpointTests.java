package org.fulmargap.entry;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.fulmargap.platform.standin.EndpointStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of entry VMs with endpoints that name in their answers how many rejections in a
 * second they survive, and take no more requests than they have slots.
 */
class BrittleEndpointTests {

	private static final int VMS = 4;

	/** The slots of a stand-in by its record. */
	private static final int SLOTS = 8;

	private static final int SURVIVED = 4;

	/** The time after which the VMs must have changed what they send, in ms. */
	private static final long CONTACT_MS = 3_000;

	private static final long LOAD_MS = 8_000;

	private static final long WORK_MS = 100;

	/**
	 * Longer than a refusal at once takes, and less than the time of a request, in ms.
	 */
	private static final long HELD_MS = 1_500;

	/** Few enough that a VM that stalls for a second has no more than its slots. */
	private static final double LIGHT_LOAD_PER_SECOND = 10;

	/** Time for records and heartbeats to arrive, in ms. */
	private static final long SETTLE_MS = 1_200;

	private final List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();

	private Installation installation;

	private long startedAtMs;

	@BeforeEach
	void start() throws IOException {
		this.installation = new Installation();
	}

	@AfterEach
	void stop() {
		this.installation.close();
	}

	private void startVms(int count) throws IOException, InterruptedException {
		for (int i = 0; i < count; i++) {
			this.installation.vm("vm-" + i);
		}
		this.installation.awaitReady();
	}

	private List<EndpointStandIn> endpoints(String service, int count, int survived) throws IOException {
		List<EndpointStandIn> endpoints = new ArrayList<>();
		for (int i = 1; i <= count; i++) {
			EndpointStandIn endpoint = this.installation.endpoint(service + '-' + i, service);
			endpoint.places(SLOTS);
			endpoint.workMs(WORK_MS);
			endpoint.brittle(Integer.toString(survived));
			endpoints.add(endpoint);
		}
		return endpoints;
	}

	// Sends plain requests to all VMs in turn, for longer than VMs have to change.
	private void load(double perSecond) throws InterruptedException {
		this.startedAtMs = nowMs();
		for (int i = 0; nowMs() < this.startedAtMs + LOAD_MS; i++) {
			this.answers.add(this.installation.sendAsync(this.installation.attempt(i % VMS, "/push/x")));
			long nextAtMs = this.startedAtMs + Math.round((i + 1) * 1_000 / perSecond);
			Thread.sleep(Math.max(0, nextAtMs - nowMs()));
		}
		this.answers.forEach(CompletableFuture::join);
	}

	private static long nowMs() {
		return System.nanoTime() / 1_000_000;
	}

	private long served() {
		return this.answers.stream().filter((answer) -> answer.join().statusCode() == 200).count();
	}

	// The most rejections in any second that ends when the VMs must have changed.
	private int mostInSecond(EndpointStandIn endpoint) {
		List<Long> rejections = endpoint.rejections().stream().map(EndpointStandIn.Arrival::atMs).toList();
		int most = 0;
		for (long endMs : rejections) {
			if (endMs >= this.startedAtMs + CONTACT_MS) {
				most = Math.max(most,
						(int) rejections.stream().filter((atMs) -> atMs > endMs - 1_000 && atMs <= endMs).count());
			}
		}
		return most;
	}

	@Test
	void severalVmsWithMoreRequestsThanSlotsCauseNoMoreRejectionsThanEndpointsSurvive() throws Exception {
		List<EndpointStandIn> endpoints = endpoints("core", 3, SURVIVED);
		startVms(VMS);
		double capacityPerSecond = endpoints.size() * SLOTS * 1_000.0 / WORK_MS;
		load(1.5 * capacityPerSecond);
		assertThat(endpoints)
			.allSatisfy((endpoint) -> assertThat(mostInSecond(endpoint)).isLessThanOrEqualTo(SURVIVED));
		assertThat(endpoints).allSatisfy((endpoint) -> assertThat(endpoint.runs()).isGreaterThan(SLOTS));
	}

	@Test
	void requestsWithinTheSlotsAreAllServed() throws Exception {
		endpoints("core", 3, 0);
		startVms(VMS);
		load(LIGHT_LOAD_PER_SECOND);
		assertThat(served()).isEqualTo(this.answers.size());
	}

	@Test
	void aRequestWithoutAPlaceIsRefusedAtOnceAndServedWhenTheBrittleTimeIsOver() throws Exception {
		EndpointStandIn endpoint = endpoints("core", 1, 0).get(0);
		startVms(2);
		assertThat(push(0).join().statusCode()).isEqualTo(200);
		Thread.sleep(SETTLE_MS);
		endpoint.workMs(HELD_MS);
		long sentAtMs = nowMs();
		for (int i = 0; i < SLOTS; i++) {
			this.answers.add(push(1));
		}
		HttpResponse<String> refused = firstOf(this.answers);
		assertThat(nowMs() - sentAtMs).isLessThan(HELD_MS);
		assertThat(refused.statusCode()).isEqualTo(503);
		assertThat(refused.body()).contains("ENDPOINTS_BRITTLE");
		assertThat(Double.parseDouble(refused.headers().firstValue("Retry-After").orElseThrow())).isBetween(0.1, 2.0);
		assertThat(this.installation.metrics(1)).contains("fulmargap_endpoints_brittle 1");
		this.answers.forEach(CompletableFuture::join);
		assertThat(endpoint.runs()).as("the share of one of two VMs, heard from the other").isEqualTo(1 + SLOTS / 2);
		endpoint.brittle(null);
		endpoint.workMs(HELD_MS / 3);
		assertThat(push(0).join().statusCode()).isEqualTo(200);
		Thread.sleep(SETTLE_MS);
		this.answers.clear();
		for (int i = 0; i < SLOTS; i++) {
			this.answers.add(push(1));
		}
		assertThat(served()).isEqualTo(SLOTS);
	}

	@Test
	void stageCallsCauseNoMoreRejectionsThanTheEndpointSurvives() throws Exception {
		EndpointStandIn stage = endpoints("stage", 1, 1).get(0);
		stage.places(0);
		endpoints("pool", 1, SURVIVED);
		startVms(2);
		this.startedAtMs = nowMs();
		for (int i = 0; nowMs() < this.startedAtMs + LOAD_MS; i++) {
			this.answers.add(this.installation.sendAsync(this.installation.pipeline(i % 2)));
			Thread.sleep(WORK_MS);
		}
		this.answers.forEach(CompletableFuture::join);
		assertThat(stage.rejections()).isNotEmpty();
		assertThat(mostInSecond(stage)).isLessThanOrEqualTo(1);
	}

	private static HttpResponse<String> firstOf(List<CompletableFuture<HttpResponse<String>>> answers) {
		CompletableFuture<HttpResponse<String>> first = new CompletableFuture<>();
		answers.forEach((answer) -> answer.thenAccept(first::complete));
		return first.join();
	}

	private CompletableFuture<HttpResponse<String>> push(int vm) {
		return this.installation.sendAsync(this.installation.attempt(vm, "/push/x"));
	}

}
