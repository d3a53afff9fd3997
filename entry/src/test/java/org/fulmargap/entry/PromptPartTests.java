package org.fulmargap.entry;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.fulmargap.platform.standin.CallerWire;
import org.fulmargap.platform.standin.EndpointStandIn;
import org.fulmargap.platform.standin.StoreStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that have nothing but one part of their prompts in common and
 * crash one engine after the other.
 */
class PromptPartTests {

	private static final int ENGINES = 9;

	/** The number of crashes after which no further request may reach an engine. */
	private static final int MAX_CRASHES = 5;

	/** More than the time within which crashes count as one, in milliseconds. */
	private static final long PAUSE_MS = 600;

	private final List<EndpointStandIn> engines = new ArrayList<>();

	private Installation installation;

	private int requests;

	@BeforeEach
	void start() throws Exception {
		this.installation = new Installation();
		for (int i = 0; i < ENGINES; i++) {
			this.engines.add(this.installation.endpoint("pool-" + i, "pool"));
		}
	}

	@AfterEach
	void stop() {
		this.installation.close();
	}

	private void startVms(int count) throws Exception {
		for (int i = 0; i < count; i++) {
			this.installation.vm("vm-" + i);
		}
		this.installation.awaitReady();
		Thread.sleep(1_500);
	}

	private HttpRequest.Builder request(int vm, String sharedParts) {
		this.requests++;
		return this.installation.attempt(vm, "/stream/x" + this.requests)
			.header(CallerWire.TOKEN_USAGE, "100,20")
			.header(CallerWire.PROMPT_PARTS, sharedParts + ",own" + this.requests + ":20");
	}

	private int sound(int vm) throws Exception {
		return this.installation.send(request(vm, "system:60,topic:20")).statusCode();
	}

	private int deadly(int vm) throws Exception {
		try {
			return this.installation.send(request(vm, "system:60," + EndpointStandIn.CRASH_PART + ":20")).statusCode();
		}
		catch (IOException ex) {
			// The answer had begun.
			return 0;
		}
	}

	private int crashed() {
		return (int) this.engines.stream().filter(EndpointStandIn::isDown).count();
	}

	private void removeCrashed() throws InterruptedException {
		for (int i = 0; i < ENGINES; i++) {
			if (this.engines.get(i).isDown()) {
				this.installation.store().put(CallerWire.ENDPOINT_TOPIC, "pool-" + i, "");
			}
		}
		Thread.sleep(PAUSE_MS);
	}

	private void crashUntilRefused(int vms) throws Exception {
		for (int i = 0; i < 8; i++) {
			deadly(i % vms);
			Thread.sleep(PAUSE_MS);
		}
		assertThat(crashed()).isBetween(3, MAX_CRASHES);
	}

	@Test
	void aPromptPartThatCrashesEnginesIsRefusedAtAllVmsAndSoundRequestsAreServed() throws Exception {
		startVms(3);
		assertThat(sound(0)).isEqualTo(200);
		for (int i = 0; i < 9; i++) {
			CompletableFuture<HttpResponse<String>> beside = this.installation
				.sendAsync(request((i + 1) % 3, "system:60,topic:20"));
			deadly(i % 3);
			beside.handle((response, failure) -> null).get();
			Thread.sleep(PAUSE_MS);
		}
		assertThat(crashed()).isBetween(3, MAX_CRASHES);
		removeCrashed();
		for (int vm = 0; vm < 3; vm++) {
			assertThat(deadly(vm)).isEqualTo(503);
			assertThat(sound(vm)).isEqualTo(200);
		}
	}

	@Test
	void aRefusedPromptPartStaysRefusedWhenAllVmsAreKilled() throws Exception {
		startVms(2);
		sound(0);
		crashUntilRefused(2);
		Installation.await(() -> !this.installation.store().values(CallerWire.QUARANTINE_TOPIC).isEmpty());
		removeCrashed();
		this.installation.vm(0).close();
		this.installation.vm(1).close();
		this.installation.vm("vm-2");
		Installation.await(() -> ready(2));
		Thread.sleep(PAUSE_MS);
		int before = crashed();
		assertThat(deadly(2)).isEqualTo(503);
		assertThat(crashed()).isEqualTo(before);
		assertThat(sound(2)).isEqualTo(200);
	}

	@Test
	void aVmThatStartsWhileTheStoreIsAwayGetsTheRefusedPartsFromItsPeers() throws Exception {
		startVms(2);
		sound(0);
		this.installation.store().fault(StoreStandIn.Fault.DOWN);
		crashUntilRefused(2);
		try (StoreStandIn refusing = new StoreStandIn()) {
			refusing.fault(StoreStandIn.Fault.BUSY);
			this.installation.vm("vm-2", refusing);
			this.installation.store().fault(StoreStandIn.Fault.NONE);
			this.installation.store().put(CallerWire.MEMBER_TOPIC, "vm-2", this.installation.peerAddress(2) + " a 1");
			Installation.await(() -> ready(2));
			Thread.sleep(2 * PAUSE_MS);
			assertThat(deadly(2)).isEqualTo(503);
			assertThat(crashed()).isLessThanOrEqualTo(MAX_CRASHES);
		}
	}

	@Test
	void theStoreIsCalledOnceForEachRefusedPart() throws Exception {
		startVms(3);
		sound(0);
		crashUntilRefused(3);
		Installation.await(() -> !this.installation.store().values(CallerWire.QUARANTINE_TOPIC).isEmpty());
		Map<String, String> written = this.installation.store().values(CallerWire.QUARANTINE_TOPIC);
		long callsBefore = this.installation.store().calls();
		int topicCallsBefore = this.installation.store().calls(CallerWire.QUARANTINE_TOPIC);
		Thread.sleep(3_000);
		assertThat(this.installation.store().values(CallerWire.QUARANTINE_TOPIC)).isEqualTo(written);
		// Each VM reads on once after the record was written.
		assertThat(this.installation.store().calls(CallerWire.QUARANTINE_TOPIC) - topicCallsBefore)
			.isLessThanOrEqualTo(3);
		// Two reads of each of two topics, which wait 1.7 s, and one of the other two.
		assertThat(this.installation.store().calls() - callsBefore).isLessThanOrEqualTo(3 * 6);
	}

	private boolean ready(int vm) {
		try {
			return sound(vm) != 503;
		}
		catch (Exception ex) {
			return false;
		}
	}

}
