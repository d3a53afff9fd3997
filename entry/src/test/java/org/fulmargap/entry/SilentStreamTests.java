package org.fulmargap.entry;

import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpResponse;

import org.fulmargap.platform.standin.CallerWire;
import org.fulmargap.platform.standin.RawEndpointStandIn;
import org.fulmargap.platform.standin.ScriptedAnswers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against streams of sound endpoints that are ended because they pause.
 */
class SilentStreamTests {

	/** More than a stream may be silent, less than the callers of these tests wait. */
	private static final long SILENCE_MS = 4_200;

	private Installation installation;

	private RawEndpointStandIn engine;

	@BeforeEach
	void start() throws Exception {
		this.installation = new Installation();
		this.installation.endpoint("stage-1", "stage");
		this.engine = new RawEndpointStandIn(SilentStreamTests::writeWithPause);
		this.installation.store().put(CallerWire.ENDPOINT_TOPIC, "pool-1", this.engine.record("pool"));
		this.installation.vm("vm-0");
		this.installation.awaitReady();
	}

	@AfterEach
	void stop() throws IOException {
		this.installation.close();
		this.engine.close();
	}

	private static boolean writeWithPause(Socket socket, RawEndpointStandIn.Request request) throws IOException {
		RawEndpointStandIn.write(socket, RawEndpointStandIn.head(request.attemptId(),
				"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
		writeChunk(socket, ScriptedAnswers.events(0, 2));
		try {
			Thread.sleep(SILENCE_MS);
		}
		catch (InterruptedException ex) {
			throw new IOException("the stand-in was closed", ex);
		}
		writeChunk(socket, ScriptedAnswers.events(2, 5));
		RawEndpointStandIn.write(socket, "0\r\n\r\n");
		return true;
	}

	private static void writeChunk(Socket socket, String text) throws IOException {
		RawEndpointStandIn.write(socket, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
	}

	@Test
	void aSilentStreamThatNoOtherEndpointCanContinueIsNotEnded() throws Exception {
		HttpResponse<String> response = this.installation.send(this.installation.pipeline(0));
		assertThat(response.body()).isEqualTo(ScriptedAnswers.events(0, 5));
	}

}
