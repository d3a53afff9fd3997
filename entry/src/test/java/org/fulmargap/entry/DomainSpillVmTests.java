package org.fulmargap.entry;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.fulmargap.platform.standin.CallerWire;
import org.fulmargap.platform.standin.EndpointStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of an entry VM in failure domain {@code a} with one endpoint there and another
 * one in domain {@code b}.
 */
class DomainSpillVmTests {

	private static final int REQUESTS = 6;

	/** Five times the slots of an endpoint. */
	private static final int BURST_REQUESTS = 40;

	/** Several seconds of work. */
	private static final int BURSTS = 10;

	/** Longer than it takes to send all requests, in milliseconds. */
	private static final long WORK_MS = 400;

	private Installation installation;

	private EndpointStandIn home;

	private EndpointStandIn remote;

	@BeforeEach
	void start() throws IOException {
		this.installation = new Installation();
		this.home = this.installation.endpoint("home", "core", "a");
		this.remote = this.installation.endpoint("remote", "core", "b");
		this.home.workMs(WORK_MS);
		this.remote.workMs(WORK_MS);
	}

	@AfterEach
	void stop() {
		this.installation.close();
	}

	private void startVm() throws IOException, InterruptedException {
		this.installation.vm("vm-0");
		this.installation.awaitReady();
	}

	// Sends requests that are not repeated elsewhere when an endpoint takes long.
	private void sendAtOnce(int requests) {
		List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
		for (int i = 0; i < requests; i++) {
			answers.add(this.installation.sendAsync(this.installation.attempt(0, "/push/x")));
		}
		answers.forEach((answer) -> assertThat(answer.join().statusCode()).isEqualTo(200));
	}

	private int percent() throws IOException, InterruptedException {
		String prefix = "fulmargap_domain_spill_percent{service=\"core\"} ";
		return this.installation.metrics(0)
			.lines()
			.filter((line) -> line.startsWith(prefix))
			.mapToInt((line) -> Integer.parseInt(line.substring(prefix.length())))
			.findFirst()
			.orElse(-1);
	}

	/**
	 * Guards against requests that are placed anew though the settings don't enable it.
	 */
	@Test
	void withoutTheSettingEachRequestGoesToTheLessLoadedDomain() throws IOException, InterruptedException {
		startVm();
		sendAtOnce(REQUESTS);
		assertThat(this.home.arrivals()).isEqualTo(REQUESTS / 2);
		assertThat(this.remote.arrivals()).isEqualTo(REQUESTS / 2);
		assertThat(percent()).isEqualTo(-1);
	}

	/** Guards against requests that leave the domain though nothing waits there. */
	@Test
	void withTheSettingRequestsStayWhileThereAreFreeSlots() throws IOException, InterruptedException {
		this.installation.withSpill();
		startVm();
		sendAtOnce(REQUESTS);
		assertThat(this.home.arrivals()).isEqualTo(REQUESTS);
		assertThat(this.remote.arrivals()).isZero();
	}

	/**
	 * Guards against requests that fail at home though another domain would serve them.
	 */
	@Test
	void requestsLeaveIfNoEndpointAtHomeTakesThem() throws IOException, InterruptedException {
		this.installation.withSpill();
		startVm();
		Installation.await(this::isStaying);
		this.home.close();
		for (int i = 0; i < REQUESTS; i++) {
			HttpResponse<String> answer = this.installation.send(this.installation.attempt(0, "/read/x"));
			assertThat(answer.statusCode()).isEqualTo(200);
		}
		assertThat(this.remote.arrivals()).isEqualTo(REQUESTS);
		this.installation.store().put(CallerWire.ENDPOINT_TOPIC, "home", this.home.record("core", "a", "draining"));
		Installation.await(() -> isShare(100));
		sendAtOnce(REQUESTS);
		assertThat(this.remote.arrivals()).isEqualTo(2 * REQUESTS);
	}

	/** Guards against a share that is decided but has no effect on the requests. */
	@Test
	void partOfABurstLeavesAndTheChangeIsLogged() throws IOException, InterruptedException {
		this.installation.withSpill();
		startVm();
		Installation.await(this::isStaying);
		try (LogLines log = new LogLines()) {
			for (int i = 0; i < BURSTS; i++) {
				sendAtOnce(BURST_REQUESTS);
			}
			assertThat(this.home.arrivals()).isGreaterThan(2 * BURST_REQUESTS);
			assertThat(this.remote.arrivals()).isPositive();
			assertThat(log.contain("domain_spill",
					"service=core domain=a share=0.[0-9]+ home_ms=[0-9]+ .*" + "reason=waits_at_home"))
				.isTrue();
		}
	}

	private boolean isStaying() {
		return isShare(0);
	}

	private boolean isShare(int share) {
		try {
			return percent() == share;
		}
		catch (IOException | InterruptedException ex) {
			return false;
		}
	}

}
