package org.fulmargap.entry;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import org.fulmargap.platform.standin.CallerWire;
import org.fulmargap.platform.standin.EndpointStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that are run without a valid key after a configuration has
 * taken all keys away.
 */
class DroppedKeyTests {

	private static final String ACCOUNTS = "\"tenants\":[{\"name\":\"chain\",\"api-keys\":[\"good\"],\"priority\":1}]";

	private static final String SERVICE = "\"goal-ms\":500,\"service\":\"core\"";

	private static final String SPLIT = "\"goal-ms\":500,\"split\":[{\"service\":\"core\",\"weight\":50},"
			+ "{\"service\":\"pool\",\"weight\":50}]";

	private final AtomicInteger lastId = new AtomicInteger();

	private Installation installation;

	@BeforeEach
	void start() throws IOException {
		this.installation = new Installation();
	}

	@AfterEach
	void stop() {
		this.installation.close();
	}

	private int status(String path, String authorization) throws IOException, InterruptedException {
		HttpRequest.Builder request = this.installation.attempt(0, path)
			.setHeader(CallerWire.ATTEMPT_ID, "attempt" + this.lastId.incrementAndGet());
		HttpResponse<String> response = this.installation.send(request.setHeader("Authorization", authorization));
		return response.statusCode();
	}

	private void configure(String config) {
		this.installation.store().put(CallerWire.OPERATOR_TOPIC, "config", config);
	}

	private void awaitRefusal() throws InterruptedException {
		Installation.await(() -> {
			try {
				return status("/push/x", "Token good") == 401;
			}
			catch (IOException | InterruptedException ex) {
				return false;
			}
		});
	}

	private EndpointStandIn startAndServe() throws IOException, InterruptedException {
		EndpointStandIn core = this.installation.endpoint("core-1", "core");
		this.installation.endpoint("pool-1", "pool");
		this.installation.vm("vm-0");
		this.installation.awaitReady();
		assertThat(status("/push/x", "Token good")).isEqualTo(200);
		return core;
	}

	@ParameterizedTest
	@ValueSource(strings = { "\"tenants\":[]", "\"tenants\":null", "\"tenants\":[{\"name\":\"chain\",\"api-keys\":[]}]",
			"\"tenants\":[{\"name\":\"other\",\"api-keys\":[\"new\"]}]" })
	void noRequestRunsWithoutAKeyOfTheNewestConfiguration(String accounts) throws Exception {
		EndpointStandIn core = startAndServe();
		configure(CallerWire.CONFIG.formatted(2).replace(ACCOUNTS, accounts).replace(SERVICE, SPLIT));
		awaitRefusal();
		int runs = core.runs();
		for (String path : List.of("/push/x", "/read/x", "/stream/x")) {
			for (String authorization : List.of("Token good", "Token never", "Token ", "")) {
				assertThat(status(path, authorization)).as("%s with '%s'", path, authorization).isEqualTo(401);
			}
		}
		assertThat(core.runs()).isEqualTo(runs);
	}

}
