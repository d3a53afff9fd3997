package org.fulmargap.entry;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import org.fulmargap.platform.standin.CallerWire;
import org.fulmargap.platform.standin.RawEndpointStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that get no route because their target names the host.
 */
class AbsoluteTargetTests {

	private static final int SILENCE_MS = 4_000;

	private final List<String> paths = new CopyOnWriteArrayList<>();

	private Installation installation;

	private RawEndpointStandIn core;

	@BeforeEach
	void start() throws Exception {
		this.installation = new Installation();
		this.core = new RawEndpointStandIn((socket, request) -> {
			this.paths.add(request.path());
			return RawEndpointStandIn.answer(socket, request);
		});
		this.installation.store().put(CallerWire.ENDPOINT_TOPIC, "raw-1", this.core.record("core"));
		this.installation.vm("vm-0");
		this.installation.awaitReady();
	}

	@AfterEach
	void stop() throws IOException {
		this.installation.close();
		this.core.close();
	}

	private int status(String target, String host) throws IOException {
		try (KeptConnection connection = new KeptConnection(this.installation.callerAddress(0))) {
			return connection
				.exchange(
						"POST " + target + " HTTP/1.1\r\nHost: " + host
								+ "\r\nAuthorization: Token good\r\nContent-Length: 2\r\n" + CallerWire.ATTEMPT_ID
								+ ": absolute\r\n" + CallerWire.TIME_LEFT_MS + ": 2000\r\n\r\n{}",
						CallerMethod.POST, SILENCE_MS)
				.status();
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "http://127.0.0.1", "HTTP://127.0.0.1:18625", "https://127.0.0.1" })
	void theHostOfTheTargetSelectsTheRouteAndTheEndpointGetsThePathUnchanged(String prefix) throws IOException {
		assertThat(status(prefix + "/push/a%2Fb//c?q=http://x/&z=%20", "other.example")).isEqualTo(200);
		assertThat(this.paths).containsExactly("/push/a%2Fb//c?q=http://x/&z=%20");
	}

	@Test
	void aTargetOfAnotherHostHasNoRouteThoughTheHostHeaderHasOne() throws IOException {
		assertThat(status("http://other.example/push/x", "127.0.0.1")).isEqualTo(404);
	}

	@ParameterizedTest
	@ValueSource(strings = { "http://127.0.0.1", "http://127.0.0.1?/push/x", "http:///push/x",
			"http://user@127.0.0.1/push/x", "/http://127.0.0.1/push/x" })
	void targetsWithoutAPathOrAPlainHostHaveNoRoute(String target) throws IOException {
		assertThat(status(target, "127.0.0.1")).isEqualTo(404);
		assertThat(this.paths).isEmpty();
	}

}
