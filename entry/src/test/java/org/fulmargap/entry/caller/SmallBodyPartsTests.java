package org.fulmargap.entry.caller;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import org.fulmargap.catalog.RequestLimits;
import org.fulmargap.entry.LoopStalls;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against bodies of very small parts that take far more memory than their content,
 * because each part is a buffer of its own and keeps the one in which it was read.
 */
class SmallBodyPartsTests {

	private static final int TIMEOUT_MS = 5_000;

	private static final int MAX_BODY_BYTES = 40_000;

	private static final String HEAD = "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

	private static final String END = "0\r\n\r\n";

	private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final List<String> bodies = new CopyOnWriteArrayList<>();

	private final List<Integer> buffers = new CopyOnWriteArrayList<>();

	private int port;

	@BeforeEach
	void start() throws Exception {
		try (ServerSocket free = new ServerSocket(0)) {
			this.port = free.getLocalPort();
		}
		EventLoop loop = (EventLoop) this.group.next();
		RequestLimits limits = new RequestLimits(16_384, MAX_BODY_BYTES, 3_000, 15_000);
		new CallerServer(loop, System::currentTimeMillis, new LoopStalls(loop, System::currentTimeMillis), () -> limits,
				this::handle)
			.listen("127.0.0.1:" + this.port);
	}

	@AfterEach
	void stop() {
		this.group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
	}

	private CallerListener handle(FullHttpRequest request, CallerExchange exchange) {
		this.bodies.add(request.content().toString(StandardCharsets.US_ASCII));
		this.buffers.add(request.content().nioBufferCount());
		request.release();
		exchange.answer(204, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
		return null;
	}

	// Sends each part by itself and returns the status of the answer.
	private String send(Iterable<String> parts) throws IOException {
		try (Socket socket = new Socket("127.0.0.1", this.port)) {
			socket.setSoTimeout(TIMEOUT_MS);
			socket.setTcpNoDelay(true);
			for (String part : parts) {
				socket.getOutputStream().write(part.getBytes(StandardCharsets.US_ASCII));
			}
			String status = new String(socket.getInputStream().readNBytes("HTTP/1.1 204".length()),
					StandardCharsets.US_ASCII);
			return status.substring("HTTP/1.1 ".length());
		}
	}

	private static String chunk(String content) {
		return Integer.toHexString(content.length()) + "\r\n" + content + "\r\n";
	}

	@Test
	void partsOfOneByteTakeNoBufferEach() throws IOException {
		List<String> parts = new CopyOnWriteArrayList<>(List.of(HEAD));
		for (int i = 0; i < 1_000; i++) {
			parts.add(chunk("x"));
		}
		parts.add(END);
		assertThat(send(parts)).isEqualTo("204");
		assertThat(this.bodies).containsExactly("x".repeat(1_000));
		assertThat(this.buffers.get(0)).isLessThanOrEqualTo(2);
	}

	@Test
	void smallAndLargePartsStayInOrder() throws IOException {
		String large = "y".repeat(18_000);
		assertThat(send(List.of(HEAD, chunk("a"), chunk("b"), chunk(large), chunk("c"), chunk(large), chunk("d"), END)))
			.isEqualTo("204");
		assertThat(this.bodies).containsExactly("ab" + large + "c" + large + "d");
	}

	@Test
	void aBodyOverTheLimitIsRefused() throws IOException {
		String large = "y".repeat(18_000);
		assertThat(send(List.of(HEAD, chunk("a"), chunk(large), chunk(large), chunk("z".repeat(4_000)), END)))
			.isEqualTo("413");
		assertThat(this.bodies).isEmpty();
	}

}
