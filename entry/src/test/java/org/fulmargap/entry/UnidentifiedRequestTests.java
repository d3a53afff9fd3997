package org.fulmargap.entry;

import java.io.IOException;
import java.net.Socket;
import java.util.HashMap;
import java.util.Map;

import org.fulmargap.platform.standin.CallerWire;
import org.fulmargap.platform.standin.RawEndpointStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a late copy of an earlier answer that is taken for the answer to a
 * request without an attempt id, which any answer fits.
 */
class UnidentifiedRequestTests {

	private Installation installation;

	@BeforeEach
	void start() throws IOException {
		this.installation = new Installation();
	}

	@AfterEach
	void stop() {
		this.installation.close();
	}

	@Test
	void aRequestWithoutAnIdDoesNotGetTheAnswerToAnEarlierOne() throws Exception {
		try (RawEndpointStandIn endpoint = new RawEndpointStandIn(new LateCopies())) {
			this.installation.store().put(CallerWire.ENDPOINT_TOPIC, "raw-1", endpoint.record("core"));
			this.installation.vm("vm-0");
			this.installation.awaitReady();
			var first = this.installation.request(0, "/push/x").header(CallerWire.ATTEMPT_ID, "first");
			assertThat(this.installation.send(first).body()).isEqualTo(RawEndpointStandIn.body("first"));
			var second = this.installation.request(0, "/push/x");
			assertThat(this.installation.send(second).body()).isEqualTo(RawEndpointStandIn.body(""));
		}
	}

	/**
	 * Sends the first answer of a connection once more before its second one.
	 */
	private static final class LateCopies implements RawEndpointStandIn.Handler {

		private final Map<Socket, RawEndpointStandIn.Request> first = new HashMap<>();

		@Override
		public synchronized boolean write(Socket socket, RawEndpointStandIn.Request request) throws IOException {
			RawEndpointStandIn.Request copied = this.first.putIfAbsent(socket, request);
			if (copied != null) {
				RawEndpointStandIn.answer(socket, copied);
			}
			return RawEndpointStandIn.answer(socket, request);
		}

	}

}
