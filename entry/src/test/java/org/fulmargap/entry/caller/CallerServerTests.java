package org.fulmargap.entry.caller;

import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import org.fulmargap.catalog.RequestLimits;
import org.fulmargap.entry.LogLines;
import org.fulmargap.entry.LoopStalls;
import org.fulmargap.platform.standin.CallerWire;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that are read by a process that ends before it answers them.
 */
class CallerServerTests {

	private static final byte[] REQUEST = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}"
		.getBytes(StandardCharsets.US_ASCII);

	private static final int SILENCE_MS = 300;

	private static final long IDLE_TIMEOUT_MS = 1_000;

	/** More than the buffers of both sockets hold. */
	private static final int LARGE_BYTES = 16 << 20;

	private static final int CHUNK_BYTES = 1 << 16;

	/** Less than the idle timeout. */
	private static final int STALL_MS = 10_000;

	private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = (EventLoop) this.group.next();

	private final AtomicInteger handled = new AtomicInteger();

	private final AtomicLong clockOffsetMs = new AtomicLong();

	private volatile RequestLimits limits = RequestLimits.DEFAULT;

	private CallerServer server;

	private int port;

	@BeforeEach
	void start() throws Exception {
		try (ServerSocket free = new ServerSocket(0)) {
			this.port = free.getLocalPort();
		}
		this.server = new CallerServer(this.loop, () -> System.currentTimeMillis() + this.clockOffsetMs.get(),
				new LoopStalls(this.loop, System::currentTimeMillis), () -> this.limits, (request, exchange) -> {
					request.release();
					this.handled.incrementAndGet();
					if (request.uri().equals("/begun")) {
						exchange.begin(200, new DefaultHttpHeaders());
						exchange.write(Unpooled.copiedBuffer("part", StandardCharsets.US_ASCII));
						exchange.answer(500, new DefaultHttpHeaders(),
								Unpooled.copiedBuffer("error", StandardCharsets.US_ASCII));
						return null;
					}
					if (request.uri().equals("/large")) {
						exchange.answer(200, new DefaultHttpHeaders(), Unpooled.wrappedBuffer(new byte[LARGE_BYTES]));
						return null;
					}
					if (request.uri().equals("/later")) {
						exchange.begin(200, new DefaultHttpHeaders());
						exchange.write(Unpooled.copiedBuffer("part", StandardCharsets.US_ASCII));
						this.loop.schedule(exchange::end, SILENCE_MS / 2, TimeUnit.MILLISECONDS);
						return null;
					}
					if (request.uri().equals("/slow")) {
						this.loop.schedule(() -> exchange.answer(204, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER),
								SILENCE_MS / 2, TimeUnit.MILLISECONDS);
						return null;
					}
					exchange.answer(204, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
					return null;
				});
		this.server.listen("127.0.0.1:" + this.port);
	}

	@AfterEach
	void stop() {
		this.group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
	}

	private Socket connect() throws IOException {
		Socket socket = new Socket();
		socket.connect(new InetSocketAddress("127.0.0.1", this.port), SILENCE_MS);
		socket.setSoTimeout(SILENCE_MS);
		return socket;
	}

	private static void send(Socket socket) throws IOException {
		socket.getOutputStream().write(REQUEST);
		socket.getOutputStream().flush();
	}

	private static void readAnswer(Socket socket) throws IOException {
		InputStream in = socket.getInputStream();
		StringBuilder head = new StringBuilder();
		while (head.indexOf("\r\n\r\n") < 0) {
			head.append((char) in.read());
		}
		assertThat(head.toString()).startsWith("HTTP/1.1 204");
	}

	@Test
	void anAnswerAfterABegunOneClosesTheConnection() throws Exception {
		try (LogLines log = new LogLines(); Socket socket = connect()) {
			socket.getOutputStream()
				.write("GET /begun HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
			String received = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
			assertThat(received).startsWith("HTTP/1.1 200 ").endsWith("\r\n\r\n4\r\npart\r\n");
			log.await("caller_closed", "reason=ABORTED cause=none progress=ANSWERING age_ms=\\d+ pipelined=0");
		}
	}

	@Test
	void aHeadWhoseLengthIsNoNumberIsAnsweredWith400() throws Exception {
		try (Socket socket = connect()) {
			socket.getOutputStream()
				.write("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
			String received = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
			assertThat(received).startsWith("HTTP/1.1 400 ");
		}
	}

	@Test
	void aConnectionIsBusyUntilItsAnswerIsWritten() throws Exception {
		try (Socket socket = connect()) {
			socket.getOutputStream()
				.write("GET /large HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
					.getBytes(StandardCharsets.US_ASCII));
			InputStream in = socket.getInputStream();
			assertThat(in.read()).isEqualTo('H');
			assertThat(busyConnections()).isOne();
			assertThat(in.readAllBytes()).hasSizeGreaterThan(LARGE_BYTES);
			assertThat(busyConnections()).isZero();
		}
	}

	@Test
	void aCallerThatReadsNothingGetsNoFurtherAnswers() throws Exception {
		try (Socket socket = connect()) {
			for (int i = 0; i < 8; i++) {
				socket.getOutputStream()
					.write("GET /large HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
			}
			assertThat(socket.getInputStream().read()).isEqualTo('H');
			Thread.sleep(SILENCE_MS);
			assertThat(this.handled).hasValue(1);
			assertThat(socket.getInputStream().readNBytes(8 * LARGE_BYTES)).hasSize(8 * LARGE_BYTES);
			assertThat(this.handled).hasValue(8);
		}
	}

	@Test
	void anEndWithoutAWholeAnswerIsLogged() throws Exception {
		try (LogLines log = new LogLines()) {
			try (Socket socket = connect()) {
				send(socket);
				readAnswer(socket);
			}
			try (Socket socket = connect()) {
				socket.getOutputStream()
					.write(("POST /x HTTP/1.1\r\nHost: h\r\n" + CallerWire.ATTEMPT_ID
							+ ": a1\r\nContent-Length: 9\r\n\r\npart")
						.getBytes(StandardCharsets.US_ASCII));
			}
			log.await("caller_closed", "request=a1 reason=CALLER cause=none progress=RECEIVING .*");
			assertThat(log.contain("caller_closed", "request=\"\" .*")).isFalse();
		}
	}

	@Test
	void anAnswerThatIsNotWrittenWholeIsLogged() throws Exception {
		try (LogLines log = new LogLines()) {
			try (Socket socket = connect()) {
				socket.getOutputStream()
					.write("GET /large HTTP/1.1\r\nHost: h\r\n\r\nGET /x HTTP/1.1\r\nHost: h\r\n\r\n"
						.getBytes(StandardCharsets.US_ASCII));
				assertThat(socket.getInputStream().read()).isEqualTo('H');
			}
			log.await("caller_closed", "reason=\\w+ .* progress=ANSWERING .* pipelined=1");
		}
	}

	private void idleTimeoutMs(long timeoutMs) {
		this.limits = new RequestLimits(RequestLimits.DEFAULT.maxHeaderBytes(), RequestLimits.DEFAULT.maxBodyBytes(),
				RequestLimits.DEFAULT.headerTimeoutMs(), timeoutMs);
	}

	@Test
	void aShortIdleTimeoutDoesNotCutAnAnswerThatIsReadSlowly() throws Exception {
		idleTimeoutMs(IDLE_TIMEOUT_MS);
		try (Socket socket = connect()) {
			socket.getOutputStream()
				.write("GET /large HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
			Thread.sleep(3 * IDLE_TIMEOUT_MS);
			assertThat(socket.getInputStream().readNBytes(LARGE_BYTES)).hasSize(LARGE_BYTES);
		}
	}

	@Test
	void anAnswerThatIsNotReadAtAllIsCut() throws Exception {
		try (Socket socket = connect()) {
			socket.getOutputStream()
				.write("GET /large HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
			assertThat(socket.getInputStream().read()).isEqualTo('H');
			// The first check of the timeout still sees progress.
			Thread.sleep(3 * IDLE_TIMEOUT_MS);
			assertThat(busyConnections()).isOne();
			this.clockOffsetMs.addAndGet(RequestLimits.DEFAULT.idleTimeoutMs());
			Thread.sleep(2 * IDLE_TIMEOUT_MS);
			assertThat(busyConnections()).isZero();
		}
	}

	// Sends the head and a part of the body of a request on a kept connection.
	private static void sendPart(Socket socket) throws IOException {
		send(socket);
		readAnswer(socket);
		socket.getOutputStream().write(REQUEST, 0, REQUEST.length - 1);
	}

	@Test
	void theIdleTimeoutDoesNotCutARequestThatIsBeingSent() throws Exception {
		idleTimeoutMs(IDLE_TIMEOUT_MS);
		try (Socket socket = connect()) {
			send(socket);
			readAnswer(socket);
			String chunked = new String(REQUEST, StandardCharsets.US_ASCII).replace("Content-Length: 2",
					"Transfer-Encoding: chunked");
			socket.getOutputStream().write(chunked.replace("{}", "").getBytes(StandardCharsets.US_ASCII));
			for (int i = 0; i < 8; i++) {
				Thread.sleep(SILENCE_MS);
				socket.getOutputStream().write("1\r\nx\r\n".getBytes(StandardCharsets.US_ASCII));
			}
			socket.getOutputStream().write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
			readAnswer(socket);
		}
	}

	@Test
	void aRequestThatArrivesWithoutEndIsCut() throws Exception {
		try (Socket socket = connect()) {
			socket.getOutputStream()
				.write("POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
					.getBytes(StandardCharsets.US_ASCII));
			awaitBusyConnection();
			for (int sentMs = 0; sentMs < 60_000; sentMs += STALL_MS) {
				socket.getOutputStream().write("1\r\nx\r\n".getBytes(StandardCharsets.US_ASCII));
				Thread.sleep(SILENCE_MS / 3);
				this.loop.submit(this.server::closeIdle).sync();
				assertThat(busyConnections()).isOne();
				this.clockOffsetMs.addAndGet(STALL_MS);
			}
			this.loop.submit(this.server::closeIdle).sync();
			assertThat(socket.getInputStream().read()).isNegative();
			assertThat(busyConnections()).isZero();
		}
	}

	@Test
	void aRequestThatIsBeingSentWhenUnusedConnectionsAreClosedIsAnswered() throws Exception {
		try (Socket socket = connect()) {
			sendPart(socket);
			Thread.sleep(SILENCE_MS);
			this.loop.submit(this.server::closeUnused).sync();
			assertThat(busyConnections()).isOne();
			socket.getOutputStream().write(REQUEST, REQUEST.length - 1, 1);
			readAnswer(socket);
		}
	}

	@Test
	void aRequestThatIsNeverWholeDoesNotOutlastTheEndOfReading() throws Exception {
		try (Socket socket = connect()) {
			sendPart(socket);
			Thread.sleep(SILENCE_MS);
			this.loop.submit(this.server::stopReading).sync();
			assertThat(socket.getInputStream().read()).isNegative();
			assertThat(busyConnections()).isZero();
		}
	}

	@Test
	void pipelinedRequestsThatWereReadAreAnsweredInADrain() throws Exception {
		try (Socket socket = connect()) {
			this.loop.submit(this.server::drain).sync();
			String slow = "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n";
			socket.getOutputStream().write(slow.repeat(3).getBytes(StandardCharsets.US_ASCII));
			String received = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
			assertThat(received.split("HTTP/1.1 204", -1)).hasSize(4);
			assertThat(received.split("connection: close", -1)).hasSize(2);
		}
	}

	// A caller that has sent more than is read, and has not taken its answer yet.
	@Test
	void anAnswerIsNotCutByARequestThatIsNotRead() throws Exception {
		try (Socket socket = connect()) {
			this.loop.submit(this.server::drain).sync();
			socket.getOutputStream()
				.write("GET /large HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
			assertThat(socket.getInputStream().read()).isEqualTo('H');
			this.loop.submit(this.server::stopReading).sync();
			send(socket);
			int taken = 1;
			while (busyConnections() > 0) {
				taken += socket.getInputStream().readNBytes(CHUNK_BYTES).length;
				Thread.sleep(1);
			}
			int rest = socket.getInputStream().readNBytes(LARGE_BYTES).length;
			assertThat(taken + rest).isGreaterThan(LARGE_BYTES);
		}
	}

	// The answer began before the drain, so it doesn't say that the connection closes.
	@Test
	void aConnectionThatIsNotReadAnyMoreEndsWithItsLastAnswer() throws Exception {
		try (Socket socket = connect()) {
			socket.getOutputStream()
				.write("GET /later HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
			assertThat(socket.getInputStream().read()).isEqualTo('H');
			this.loop.submit(this.server::stopReading).sync();
			assertThat(socket.getInputStream().readAllBytes())
				.endsWith("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
		}
	}

	// The first head that a JVM reads may take it a while.
	private void awaitBusyConnection() throws InterruptedException {
		long limitAtMs = System.currentTimeMillis() + STALL_MS;
		while (busyConnections() == 0 && System.currentTimeMillis() < limitAtMs) {
			Thread.sleep(1);
		}
	}

	private long busyConnections() throws InterruptedException {
		return this.loop.submit(this.server::busyConnections).sync().getNow();
	}

	// Sends a request; a connection that stays open and silent fails the test.
	private static boolean endsWithoutAnswer(Socket socket) throws IOException {
		try {
			send(socket);
			return socket.getInputStream().read() < 0;
		}
		catch (SocketException ex) {
			return true;
		}
	}

	@Test
	void noRequestIsReadAfterTheEndOfReading() throws Exception {
		try (Socket socket = connect()) {
			send(socket);
			readAnswer(socket);
			this.loop.submit(this.server::stopReading).sync();
			assertThat(endsWithoutAnswer(socket)).isTrue();
			assertThat(this.handled).hasValue(1);
			assertThat(this.server.busyConnections()).isZero();
		}
		assertThat(refusesConnectionsSoon()).isTrue();
	}

	// The selector closes the listener at its next selection.
	private boolean refusesConnectionsSoon() throws IOException {
		long limitAtMs = System.currentTimeMillis() + SILENCE_MS;
		boolean refused = false;
		while (!refused && System.currentTimeMillis() < limitAtMs) {
			refused = refusesConnections();
		}
		return refused;
	}

	private boolean refusesConnections() throws IOException {
		try (Socket socket = connect()) {
			return false;
		}
		catch (SocketException ex) {
			return ex instanceof ConnectException;
		}
	}

}
