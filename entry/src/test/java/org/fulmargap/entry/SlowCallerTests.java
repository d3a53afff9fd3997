package org.fulmargap.entry;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Pattern;
import java.util.stream.IntStream;

import org.fulmargap.platform.standin.CallerWire;
import org.fulmargap.platform.standin.RawEndpointStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against answers that are kept in memory because their callers read more slowly
 * than the endpoints write.
 */
class SlowCallerTests {

	private static final String REQUEST = "POST /stream/x HTTP/1.1\r\nHost: 127.0.0.1\r\n"
			+ "Authorization: Token good\r\nContent-Length: 2\r\n" + CallerWire.ATTEMPT_ID + ": slow\r\n"
			+ CallerWire.TIME_LEFT_MS + ": 5000\r\n\r\n{}";

	/** More than the buffers of all sockets on the way, in bytes. */
	private static final long MAX_BYTES = 24L << 20;

	private static final int RECEIVE_BUFFER_BYTES = 65_536;

	/** Longer than an endpoint may be silent. */
	private static final long PAUSE_MS = 1_900;

	private static final int EVENTS = 3_000;

	private Installation installation;

	@BeforeEach
	void start() throws Exception {
		this.installation = new Installation();
		this.installation.endpoint("core-1", "core");
	}

	@AfterEach
	void stop() {
		this.installation.close();
	}

	private void startVm(RawEndpointStandIn engine) throws Exception {
		this.installation.store().put(CallerWire.ENDPOINT_TOPIC, "raw-1", engine.record("pool"));
		this.installation.vm("vm-0");
		this.installation.awaitReady();
	}

	// Sends a request and reads the first byte of its answer.
	private Socket begin() throws IOException {
		Socket socket = new Socket();
		socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
		String[] address = this.installation.callerAddress(0).split(":");
		socket.connect(new InetSocketAddress(address[0], Integer.parseInt(address[1])));
		socket.setSoTimeout(4_000);
		socket.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
		assertThat(socket.getInputStream().read()).isEqualTo('H');
		return socket;
	}

	private int readStatus() throws Exception {
		return this.installation.send(this.installation.attempt(0, "/read/x")).statusCode();
	}

	@Test
	void anEndpointWaitsForACallerThatDoesNotRead() throws Exception {
		try (RawEndpointStandIn engine = new RawEndpointStandIn(RawEndpointStandIn.Answer.ENDLESS_EVENTS)) {
			startVm(engine);
			long before = RawEndpointStandIn.writtenBytes();
			try (Socket caller = begin()) {
				Thread.sleep(PAUSE_MS);
				assertThat(RawEndpointStandIn.writtenBytes() - before).isLessThan(MAX_BYTES);
				assertThat(readStatus()).isEqualTo(200);
			}
			Installation.await(() -> engine.openConnections() == 0);
		}
	}

	@Test
	void aStreamOfCommentsIsBrokenOff() throws Exception {
		try (RawEndpointStandIn engine = new RawEndpointStandIn(RawEndpointStandIn.Answer.ENDLESS_COMMENTS)) {
			startVm(engine);
			long before = RawEndpointStandIn.writtenBytes();
			try (Socket caller = begin()) {
				String answer = new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
				assertThat(answer.length()).isLessThan((int) MAX_BYTES);
				assertThat(answer).contains("id: 0").doesNotContain("done for").doesNotEndWith("\r\n0\r\n\r\n");
			}
			assertThat(RawEndpointStandIn.writtenBytes() - before).isLessThan(MAX_BYTES);
			Installation.await(() -> engine.openConnections() == 0);
		}
	}

	private static List<Integer> eventIds(CharSequence answer) {
		return Pattern.compile("id: (\\d+)\n")
			.matcher(answer)
			.results()
			.map((result) -> Integer.valueOf(result.group(1)))
			.toList();
	}

	@Test
	void aSlowCallerGetsTheWholeStream() throws Exception {
		AtomicInteger runs = new AtomicInteger();
		try (RawEndpointStandIn engine = new RawEndpointStandIn(RawEndpointStandIn.largeStream(EVENTS, runs))) {
			startVm(engine);
			try (Socket caller = begin()) {
				InputStream in = caller.getInputStream();
				Thread.sleep(PAUSE_MS);
				StringBuilder answer = new StringBuilder();
				while (answer.indexOf("\r\n0\r\n\r\n", Math.max(0, answer.length() - RECEIVE_BUFFER_BYTES)) < 0) {
					answer.append(new String(in.readNBytes(1), StandardCharsets.US_ASCII))
						.append(new String(in.readNBytes(in.available()), StandardCharsets.US_ASCII));
				}
				assertThat(eventIds(answer)).containsExactlyElementsOf(IntStream.range(0, EVENTS).boxed().toList());
			}
			assertThat(runs).hasValue(1);
		}
	}

}
