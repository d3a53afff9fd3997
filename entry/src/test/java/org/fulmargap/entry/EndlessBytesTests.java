package org.fulmargap.entry;

import java.net.http.HttpRequest;
import java.util.stream.Stream;

import org.fulmargap.platform.standin.CallerWire;
import org.fulmargap.platform.standin.RawEndpointStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against endpoints that send bytes without end: they must not use up the memory
 * of a VM, and the caller must get a true answer well before its time is over.
 */
class EndlessBytesTests {

	/** More than the largest answer and the buffers of both sockets. */
	private static final long MAX_BYTES = 24L << 20;

	/** The callers of these tests wait for five seconds. */
	private static final long MAX_MS = 2_500;

	private Installation installation;

	@BeforeEach
	void start() throws Exception {
		this.installation = new Installation();
	}

	@AfterEach
	void stop() {
		this.installation.close();
	}

	private void list(String id, RawEndpointStandIn endpoint, String service) {
		this.installation.store().put(CallerWire.ENDPOINT_TOPIC, id, endpoint.record(service));
	}

	private void assertStatus(HttpRequest.Builder request, int status) throws Exception {
		long bytesBefore = RawEndpointStandIn.writtenBytes();
		long startedAtMs = System.currentTimeMillis();
		assertThat(this.installation.send(request).statusCode()).isEqualTo(status);
		assertThat(System.currentTimeMillis() - startedAtMs).isLessThan(MAX_MS);
		assertThat(RawEndpointStandIn.writtenBytes() - bytesBefore).isLessThan(MAX_BYTES);
	}

	private static Stream<RawEndpointStandIn.Answer> endlessAnswers() {
		return Stream.of(RawEndpointStandIn.Answer.values())
			.filter((answer) -> answer.name().startsWith("ENDLESS") || answer == RawEndpointStandIn.Answer.HUGE_LENGTH);
	}

	@ParameterizedTest
	@MethodSource("endlessAnswers")
	void theOutcomeOfAnActionIsUnknown(RawEndpointStandIn.Answer answer) throws Exception {
		try (RawEndpointStandIn endpoint = new RawEndpointStandIn(answer)) {
			list("raw-1", endpoint, "core");
			this.installation.vm("vm-0");
			this.installation.awaitReady();
			for (int i = 0; i < 2; i++) {
				assertStatus(this.installation.attempt(0, "/push/x"), 502);
			}
		}
	}

	@ParameterizedTest
	@MethodSource("endlessAnswers")
	void aReadIsServedByAnotherEndpoint(RawEndpointStandIn.Answer answer) throws Exception {
		try (RawEndpointStandIn endpoint = new RawEndpointStandIn(answer)) {
			list("raw-1", endpoint, "core");
			this.installation.endpoint("core-1", "core");
			this.installation.vm("vm-0");
			this.installation.awaitReady();
			for (int i = 0; i < 4; i++) {
				assertStatus(this.installation.attempt(0, "/read/x"), 200);
			}
		}
	}

	@ParameterizedTest
	@EnumSource(names = { "ENDLESS_EVENT", "ENDLESS_HEAD", "ENDLESS_INTERIM_ANSWERS", "ENDLESS_FOREIGN_BODY" })
	void aStreamEndsAsFailed(RawEndpointStandIn.Answer answer) throws Exception {
		try (RawEndpointStandIn endpoint = new RawEndpointStandIn(answer)) {
			list("raw-1", endpoint, "pool");
			this.installation.endpoint("stage-1", "stage");
			this.installation.vm("vm-0");
			this.installation.awaitReady();
			assertStatus(this.installation.pipeline(0), 502);
		}
	}

	@ParameterizedTest
	@MethodSource("endlessAnswers")
	void aStageCallFails(RawEndpointStandIn.Answer answer) throws Exception {
		try (RawEndpointStandIn endpoint = new RawEndpointStandIn(answer)) {
			list("raw-1", endpoint, "stage");
			this.installation.endpoint("pool-1", "pool");
			this.installation.vm("vm-0");
			this.installation.awaitReady();
			assertThat(this.installation.send(this.installation.pipeline(0)).statusCode()).isEqualTo(503);
		}
	}

}
