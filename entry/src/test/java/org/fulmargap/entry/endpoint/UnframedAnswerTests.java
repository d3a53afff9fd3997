package org.fulmargap.entry.endpoint;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import org.fulmargap.entry.LoopStalls;
import org.fulmargap.platform.EndpointAnswer;
import org.fulmargap.platform.standin.RawEndpointStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against answers without a length that count as whole although their endpoint has
 * not ended the connection.
 */
class UnframedAnswerTests {

	private static final String PART = "par";

	private static final long QUIET_MS = 50;

	/** More than the buffers of a connection hold. */
	private static final int UPLOAD_BYTES = 16 << 20;

	private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = (EventLoop) this.group.next();

	private final CompletableFuture<Void> begun = new CompletableFuture<>();

	private final CompletableFuture<Boolean> whole = new CompletableFuture<>();

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

	private void send(RawEndpointStandIn endpoint) throws Exception {
		send(endpoint, new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"));
	}

	private void send(RawEndpointStandIn endpoint, FullHttpRequest request) throws Exception {
		this.loop.execute(() -> this.pool.send(endpoint.address(), () -> request, new Call()));
		this.begun.get(5, TimeUnit.SECONDS);
	}

	private boolean isWhole() throws Exception {
		return this.whole.get(5, TimeUnit.SECONDS);
	}

	private RawEndpointStandIn.Handler part(End end) {
		return (socket, request) -> {
			RawEndpointStandIn.write(socket, RawEndpointStandIn.head("", "Connection: close\r\n") + PART);
			this.begun.join();
			return end.end(socket);
		};
	}

	@Test
	void anAnswerIsEndedByItsEndpoint() throws Exception {
		try (RawEndpointStandIn endpoint = new RawEndpointStandIn(part((socket) -> false))) {
			send(endpoint);
			assertThat(isWhole()).isTrue();
		}
	}

	@Test
	void anAnswerIsNotEndedByAReset() throws Exception {
		RawEndpointStandIn.Handler handler = part((socket) -> {
			socket.setSoLinger(true, 0);
			return false;
		});
		try (RawEndpointStandIn endpoint = new RawEndpointStandIn(handler)) {
			send(endpoint);
			assertThat(isWhole()).isFalse();
		}
	}

	// Calls without an attempt id are stage calls.
	@Test
	void aSuccessIsNotEndedByItsEndpointWhileTheRequestIsWritten() throws Exception {
		FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/",
				Unpooled.wrappedBuffer(new byte[UPLOAD_BYTES]));
		request.headers().set(HttpHeaderNames.CONTENT_LENGTH, UPLOAD_BYTES);
		RawEndpointStandIn.Handler handler = part((socket) -> {
			socket.shutdownOutput();
			return this.whole.join();
		});
		try (RawEndpointStandIn endpoint = RawEndpointStandIn.answeringEarly(handler)) {
			send(endpoint, request);
			assertThat(isWhole()).isFalse();
		}
	}

	@Test
	void anAnswerIsNotEndedByTheEndOfTheEventLoop() throws Exception {
		try (RawEndpointStandIn endpoint = new RawEndpointStandIn(part((socket) -> true))) {
			send(endpoint);
			// Without a quiet period the loop may end before it has closed its
			// connections.
			this.group.shutdownGracefully(QUIET_MS, 1_000, TimeUnit.MILLISECONDS);
			assertThat(isWhole()).isFalse();
		}
	}

	@FunctionalInterface
	private interface End {

		boolean end(Socket socket) throws IOException;

	}

	private final class Call implements EndpointCall {

		@Override
		public String attemptId() {
			return "";
		}

		@Override
		public void answered(EndpointAnswer answer, HttpResponse head) {
			// Only the end of the answer matters.
		}

		@Override
		public boolean received(ByteBuf content) {
			UnframedAnswerTests.this.begun.complete(null);
			return true;
		}

		@Override
		public boolean ended() {
			UnframedAnswerTests.this.whole.complete(true);
			return true;
		}

		@Override
		public void failed(CallFailure failure) {
			UnframedAnswerTests.this.whole.complete(false);
		}

	}

}
