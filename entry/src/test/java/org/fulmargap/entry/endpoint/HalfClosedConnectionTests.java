package org.fulmargap.entry.endpoint;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import org.fulmargap.entry.LoopStalls;
import org.fulmargap.platform.EndpointAnswer;
import org.fulmargap.platform.standin.RawEndpointStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against answers whose end is not noticed and against connections that stay open
 * after their endpoint has ended its output.
 */
class HalfClosedConnectionTests {

	private static final int CALLS = 100;

	/** Less than the stated idle timeout, after which a connection is closed as well. */
	private static final long CLOSE_MS = 8_000;

	private static final String BODY = "body";

	private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = (EventLoop) this.group.next();

	private EndpointPool pool;

	@BeforeEach
	void start() {
		this.pool = new EndpointPool(this.loop, System::currentTimeMillis,
				new LoopStalls(this.loop, System::currentTimeMillis));
	}

	@AfterEach
	void stop() {
		this.group.shutdownGracefully();
	}

	@ParameterizedTest
	@EnumSource
	void eachAnswerEndsAndNoConnectionStaysOpen(End end) throws Exception {
		RawEndpointStandIn.Handler handler = (socket, request) -> {
			RawEndpointStandIn.write(socket, RawEndpointStandIn.head("", end.headers) + BODY);
			return end.end(socket);
		};
		try (RawEndpointStandIn endpoint = new RawEndpointStandIn(handler)) {
			for (int i = 0; i < CALLS; i++) {
				Call call = new Call(end.pauses);
				FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
				this.loop.execute(() -> call.running = this.pool.send(endpoint.address(), () -> request, call));
				if (end.pauses) {
					call.begun.get(10, TimeUnit.SECONDS);
					Thread.sleep(1);
					this.loop.execute(() -> call.running.reading(true));
				}
				assertThat(call.whole.get(10, TimeUnit.SECONDS)).as("call %s", i).isTrue();
				awaitNoConnection(endpoint);
			}
		}
	}

	private static void awaitNoConnection(RawEndpointStandIn endpoint) throws Exception {
		long deadlineMs = System.currentTimeMillis() + CLOSE_MS;
		while (endpoint.openConnections() > 0 && System.currentTimeMillis() < deadlineMs) {
			Thread.sleep(1);
		}
		assertThat(endpoint.openConnections()).isZero();
	}

	/**
	 * How an endpoint ends its answer.
	 */
	enum End {

		/** With a length, then the end of its output. */
		LENGTH_HALF_CLOSED("Keep-Alive: timeout=20\r\nContent-Length: 4\r\n", true, false),

		/** With the end of its output. */
		HALF_CLOSED("", true, false),

		/** With the end of its output, which the answer announces. */
		ANNOUNCED_HALF_CLOSED("Connection: close\r\n", true, false),

		/** With the end of the connection. */
		CLOSED("", false, false),

		/** With the end of its output while the answer is not read. */
		HALF_CLOSED_WHILE_PAUSED("", true, true);

		private final String headers;

		private final boolean half;

		private final boolean pauses;

		End(String headers, boolean half, boolean pauses) {
			this.headers = headers;
			this.half = half;
			this.pauses = pauses;
		}

		private boolean end(Socket socket) throws IOException {
			if (this.half) {
				socket.shutdownOutput();
			}
			return this.half;
		}

	}

	private static final class Call implements EndpointCall {

		private final CompletableFuture<Void> begun = new CompletableFuture<>();

		private final CompletableFuture<Boolean> whole = new CompletableFuture<>();

		private final boolean pauses;

		private EndpointPool.RunningCall running;

		private Call(boolean pauses) {
			this.pauses = pauses;
		}

		@Override
		public String attemptId() {
			return "";
		}

		@Override
		public void answered(EndpointAnswer answer, HttpResponse head) {
			if (this.pauses) {
				this.running.reading(false);
			}
			this.begun.complete(null);
		}

		@Override
		public boolean received(ByteBuf content) {
			return true;
		}

		@Override
		public boolean ended() {
			this.whole.complete(true);
			return true;
		}

		@Override
		public void failed(CallFailure failure) {
			this.whole.complete(false);
		}

	}

}
