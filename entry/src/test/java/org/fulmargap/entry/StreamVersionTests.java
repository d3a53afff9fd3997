package org.fulmargap.entry;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.util.List;
import java.util.Locale;

import org.fulmargap.platform.standin.CallerWire;
import org.fulmargap.platform.standin.EndpointStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against streams whose events come from endpoints of two software versions, in
 * one answer or over several attempts of a caller.
 */
class StreamVersionTests {

	private static final int OK = 200;

	private static final int UNAVAILABLE = 503;

	/** Some heartbeats between VMs, in milliseconds. */
	private static final long HEARTBEATS_MS = 800;

	private Installation installation;

	private EndpointStandIn older;

	private EndpointStandIn newer;

	@BeforeEach
	void start() throws Exception {
		this.installation = new Installation();
		this.older = this.installation.endpoint("pool-1", "pool");
		this.newer = new EndpointStandIn("pool-2");
		this.installation.vm("vm-0");
		this.installation.awaitReady();
	}

	@AfterEach
	void stop() {
		this.installation.close();
		this.newer.close();
	}

	private void listNewer() throws InterruptedException {
		String record = this.newer.record("pool", "a", "ready").replace("\"v1\"", "\"v2\"");
		this.installation.store().put(CallerWire.ENDPOINT_TOPIC, "pool-2", record);
		// The VM knows of it when it has sent it a request.
		for (int i = 0; i < 200 && this.newer.runs() == 0; i++) {
			this.installation.sendAsync(stream("probe" + i));
			Thread.sleep(20);
		}
		assertThat(this.newer.runs()).isPositive();
	}

	private HttpRequest.Builder stream(String attemptId) {
		return this.installation.attempt(0, "/stream/x").setHeader(CallerWire.ATTEMPT_ID, attemptId);
	}

	private static boolean ran(EndpointStandIn engine, String attemptId) {
		String name = CallerWire.ATTEMPT_ID.toLowerCase(Locale.ROOT);
		return engine.requests().stream().anyMatch((headers) -> attemptId.equals(headers.get(name)));
	}

	@Test
	void aStreamThatItsCallerTakesUpGoesOnAtTheVersionThatBeganIt() throws Exception {
		assertThat(this.installation.send(stream("begun")).statusCode()).isEqualTo(OK);
		listNewer();
		for (int i = 0; i < 4; i++) {
			this.installation.send(stream("again" + i).header("Resumes", "begun").header("Last-Event-Id", "2"));
			assertThat(ran(this.newer, "again" + i)).as("attempt %s ran at the newer version", i).isFalse();
		}
	}

	private HttpRequest.Builder continuation(int vm, String attemptId, String resumed) {
		return this.installation.attempt(vm, "/stream/x")
			.setHeader(CallerWire.ATTEMPT_ID, attemptId)
			.header("Resumes", resumed)
			.header("Last-Event-Id", "2");
	}

	@Test
	void aStreamGoesOnAtTheVersionThatBeganItAtAnotherVm() throws Exception {
		this.installation.vm("vm-1");
		this.installation.awaitReady();
		listNewer();
		assertThat(this.installation.send(stream("begun")).statusCode()).isEqualTo(OK);
		EndpointStandIn other = (ran(this.newer, "begun")) ? this.older : this.newer;
		Thread.sleep(HEARTBEATS_MS);
		for (int i = 0; i < 4; i++) {
			this.installation.send(continuation(1, "again" + i, "begun"));
			assertThat(ran(other, "again" + i)).as("attempt %s ran at the other version", i).isFalse();
		}
	}

	@Test
	void aStreamGoesOnAtTheVersionThatBeganItAfterAllVmsWereKilled() throws Exception {
		listNewer();
		assertThat(this.installation.send(stream("begun")).statusCode()).isEqualTo(OK);
		EndpointStandIn origin = (ran(this.newer, "begun")) ? this.newer : this.older;
		Installation
			.await(() -> this.installation.store().values(CallerWire.STREAMS_TOPIC).toString().contains("\"begun\""));
		this.installation.restart(0);
		this.installation.awaitReady();
		assertThat(this.installation.send(continuation(0, "again", "begun")).statusCode()).isEqualTo(OK);
		assertThat(ran(origin, "again")).isTrue();
	}

	@Test
	void aStreamOfAVersionThatLeftDoesNotGoOnAfterAllVmsWereKilled() throws Exception {
		listNewer();
		Installation
			.await(() -> this.installation.store().values(CallerWire.VERSIONS_TOPIC).keySet().contains("pool/v1"));
		this.installation.store().put(CallerWire.ENDPOINT_TOPIC, "pool-1", "");
		this.installation.restart(0);
		this.installation.awaitReady();
		int status = this.installation.send(continuation(0, "again", "unknown")).statusCode();
		assertThat(status).isEqualTo(UNAVAILABLE);
		assertThat(ran(this.newer, "again")).isFalse();
	}

	@Test
	void aStreamOfUnknownOriginGoesOnIfOnlyOneVersionServes() throws Exception {
		assertThat(this.installation.send(continuation(0, "again", "unknown")).statusCode()).isEqualTo(OK);
	}

	@Test
	void aBrokenStreamDoesNotGoOnAtAnotherVersionInOneAnswer() throws Exception {
		listNewer();
		for (EndpointStandIn engine : List.of(this.older, this.newer)) {
			engine.fault(EndpointStandIn.Fault.BREAK_STREAM);
		}
		try {
			this.installation.send(stream("broken"));
		}
		catch (IOException ex) {
			// The stream ends without its last event.
			assertThat(ex).hasMessageNotContaining("refused");
		}
		assertThat(ran(this.older, "broken") && ran(this.newer, "broken")).isFalse();
	}

}
