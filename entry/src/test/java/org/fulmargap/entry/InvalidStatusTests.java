package org.fulmargap.entry;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import org.fulmargap.platform.standin.CallerWire;
import org.fulmargap.platform.standin.CutCopyStageStandIn;
import org.fulmargap.platform.standin.RawEndpointStandIn;
import org.fulmargap.platform.standin.ScriptedAnswers;
import org.fulmargap.platform.standin.StageAnswers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against answers with a status that is none, which would reach the caller or make
 * the call wait for another answer.
 */
class InvalidStatusTests {

	/** Less than the timeouts of the routes, in milliseconds. */
	private static final long SOON_MS = 1_000;

	/** Less than the timeout of stage calls, in milliseconds. */
	private static final long SOON_REPEATED_MS = 400;

	private Installation installation;

	@BeforeEach
	void start() throws IOException {
		this.installation = new Installation();
		this.installation.retries(1, 10_000);
	}

	@AfterEach
	void stop() {
		this.installation.close();
	}

	private static String head(String status) {
		return "HTTP/1.1 " + status + " Status\r\n" + ScriptedAnswers.signature();
	}

	private void startVm(RawEndpointStandIn endpoint, String service) throws Exception {
		this.installation.store().put(CallerWire.ENDPOINT_TOPIC, "raw-1", endpoint.record(service));
		this.installation.vm("vm-0");
		this.installation.awaitReady();
	}

	@ParameterizedTest
	@ValueSource(strings = { "000", "099", "99", "600", "999", "0200", "+200", "1000", "2x0" })
	void aCallFailsAtOnce(String status) throws Exception {
		RawEndpointStandIn.Handler handler = (socket, request) -> {
			RawEndpointStandIn.write(socket, head(status) + ScriptedAnswers.idHeader(request.attemptId())
					+ "Content-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n");
			return true;
		};
		try (RawEndpointStandIn endpoint = new RawEndpointStandIn(handler);
				RawEndpointStandIn engine = new RawEndpointStandIn(handler)) {
			this.installation.store().put(CallerWire.ENDPOINT_TOPIC, "raw-2", engine.record("pool"));
			startVm(endpoint, "core");
			for (String path : List.of("/push/x", "/stream/x")) {
				long startedAtMs = System.currentTimeMillis();
				assertThat(this.installation.send(this.installation.attempt(0, path)).statusCode()).isEqualTo(502);
				assertThat(System.currentTimeMillis() - startedAtMs).isLessThan(SOON_MS);
			}
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "000", "600" })
	void aStageCallIsRepeatedAtOnce(String status) throws Exception {
		List<Long> callsAtMs = new CopyOnWriteArrayList<>();
		CutCopyStageStandIn sound = new CutCopyStageStandIn(false);
		StageAnswers firstIsInvalid = (connection, path, body, out) -> {
			callsAtMs.add(System.currentTimeMillis());
			if (callsAtMs.size() > 1) {
				sound.answer(connection, path, body, out);
			}
			else {
				out.write(head(status) + "Content-Length: 0\r\n\r\n");
			}
		};
		try (RawEndpointStandIn endpoint = new RawEndpointStandIn(firstIsInvalid);
				RawEndpointStandIn other = new RawEndpointStandIn(firstIsInvalid)) {
			this.installation.endpoint("pool-1", "pool");
			this.installation.store().put(CallerWire.ENDPOINT_TOPIC, "raw-2", other.record("stage"));
			startVm(endpoint, "stage");
			this.installation.send(this.installation.pipeline(0));
			assertThat(callsAtMs).hasSizeGreaterThan(1);
			assertThat(callsAtMs.get(1) - callsAtMs.get(0)).isLessThan(SOON_REPEATED_MS);
		}
	}

}
