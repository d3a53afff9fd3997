package org.fulmargap.entry.caller;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import org.fulmargap.catalog.RequestLimits;
import org.fulmargap.entry.LoopStalls;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a VM that stands still because the bodies of many callers use up its
 * memory.
 */
class BodyMemoryTests {

	private static final int UPLOADS = 24;

	private static final int BODY_BYTES = 4_000_000;

	/** Of each body only this much is sent, in bytes: more than the limit for all. */
	private static final int SENT_BYTES = 1_500_000;

	private static final int TIMEOUT_MS = 5_000;

	private static final int SMALL_REQUESTS = 20;

	private static final int QUICK_MS = 300;

	private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final ExecutorService threads = Executors.newCachedThreadPool();

	private CallerServer server;

	private int port;

	@BeforeEach
	void start() throws Exception {
		try (ServerSocket free = new ServerSocket(0)) {
			this.port = free.getLocalPort();
		}
		this.server = new CallerServer((EventLoop) this.group.next(), System::currentTimeMillis,
				new LoopStalls((EventLoop) this.group.next(), System::currentTimeMillis), () -> RequestLimits.DEFAULT,
				(request, exchange) -> {
					request.release();
					exchange.answer(204, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
					return null;
				});
		this.server.listen("127.0.0.1:" + this.port);
	}

	@AfterEach
	void stop() {
		this.threads.shutdownNow();
		this.group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
	}

	@Test
	void bodiesThatFindNoMemoryAreRefusedWhileSmallRequestsAreServed() throws Exception {
		List<Future<String>> uploads = new ArrayList<>();
		for (int i = 0; i < UPLOADS; i++) {
			uploads.add(this.threads.submit(upload()));
		}
		try (Socket small = connect()) {
			small.setSoTimeout(QUICK_MS);
			for (int i = 0; i < SMALL_REQUESTS; i++) {
				small.getOutputStream().write("GET /x HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
				assertThat(readHead(small)).startsWith("HTTP/1.1 204");
				assertThat(usedBytes()).isLessThan(RequestMemory.MAX_TOTAL_BYTES + BODY_BYTES);
				Thread.sleep(QUICK_MS / SMALL_REQUESTS);
			}
		}
		int refused = 0;
		for (Future<String> upload : uploads) {
			String head = upload.get(2 * TIMEOUT_MS, TimeUnit.MILLISECONDS);
			if (!head.isEmpty()) {
				assertThat(head).startsWith("HTTP/1.1 503").containsIgnoringCase("\r\nretry-after: ");
				refused++;
			}
		}
		// The others have memory for all of their bodies.
		int served = (int) (RequestMemory.MAX_TOTAL_BYTES / BODY_BYTES);
		assertThat(refused).isBetween(UPLOADS - served, UPLOADS - served + 1);
	}

	private long usedBytes() throws InterruptedException {
		return this.group.next().submit(() -> this.server.memory().usedBytes()).sync().getNow();
	}

	private Socket connect() throws IOException {
		return new Socket("127.0.0.1", this.port);
	}

	// Sends a part of a body and returns the head of the answer, empty if there is none.
	private Callable<String> upload() {
		return () -> {
			try (Socket socket = connect()) {
				socket.setSoTimeout(TIMEOUT_MS);
				socket.getOutputStream()
					.write(("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n")
						.getBytes(StandardCharsets.US_ASCII));
				socket.getOutputStream().write(new byte[SENT_BYTES]);
				return readHead(socket);
			}
		};
	}

	private static String readHead(Socket socket) throws IOException {
		StringBuilder head = new StringBuilder();
		try {
			while (head.indexOf("\r\n\r\n") < 0) {
				head.append((char) socket.getInputStream().read());
			}
		}
		catch (SocketTimeoutException ex) {
			assertThat(head).isEmpty();
		}
		return head.toString();
	}

}
