package org.fulmargap.entry.endpoint;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
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
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Tests of {@link EndpointPool} with an endpoint that counts the calls of each
 * connection.
 */
class EndpointPoolTests {

	private static final String ANSWER = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=20\r\nContent-Length: 0\r\n\r\n";

	private static final int CALLS = 250;

	private static final int MAX_CALLS_OF_A_CONNECTION = 100;

	private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = (EventLoop) this.group.next();

	private final Map<Object, Integer> callsByConnection = new ConcurrentHashMap<>();

	private RawEndpointStandIn endpoint;

	private EndpointPool pool;

	@BeforeEach
	void start() throws Exception {
		this.endpoint = new RawEndpointStandIn((connection, path, body, out) -> {
			this.callsByConnection.merge(connection, 1, Integer::sum);
			out.write(ANSWER);
		});
		this.pool = new EndpointPool(this.loop, System::currentTimeMillis,
				new LoopStalls(this.loop, System::currentTimeMillis));
	}

	@AfterEach
	void stop() throws Exception {
		this.endpoint.close();
		this.group.shutdownGracefully();
	}

	@Test
	void aConnectionDoesNotCarryMoreAnswersThanAreRemembered() {
		callAll(true);
		assertThat(this.callsByConnection.values()).allMatch((calls) -> calls <= MAX_CALLS_OF_A_CONNECTION);
		assertThat(this.callsByConnection).hasSizeLessThan(CALLS / 10);
	}

	@Test
	void aConnectionIsClosedAfterAnAnswerThatMayBelongToAnotherCall() {
		callAll(false);
		assertThat(this.callsByConnection).hasSize(CALLS);
	}

	@Test
	void aCallWhoseWriteFailsAtOnceFailsAfterItWasSent() throws Exception {
		CountDownLatch unused = new CountDownLatch(1);
		CountDownLatch reset = new CountDownLatch(1);
		RawEndpointStandIn.Handler handler = (socket, request) -> {
			RawEndpointStandIn.write(socket, ANSWER);
			awaitQuietly(unused);
			socket.setSoLinger(true, 0);
			socket.close();
			reset.countDown();
			return false;
		};
		try (RawEndpointStandIn resetting = new RawEndpointStandIn(handler)) {
			CompletableFuture<Void> first = new CompletableFuture<>();
			this.loop.execute(() -> this.pool.send(resetting.address(), EndpointPoolTests::get, new Call(true, first)));
			first.get(5, TimeUnit.SECONDS);
			CompletableFuture<Void> second = new CompletableFuture<>();
			CompletableFuture<Boolean> failedTooEarly = new CompletableFuture<>();
			this.loop.execute(() -> {
				unused.countDown();
				awaitQuietly(reset);
				this.pool.send(resetting.address(), EndpointPoolTests::get, new Call(true, second));
				failedTooEarly.complete(second.isDone());
			});
			assertThat(failedTooEarly.get(5, TimeUnit.SECONDS)).isFalse();
			assertThatThrownBy(() -> second.get(5, TimeUnit.SECONDS)).hasMessageContaining("CONNECTION_LOST");
		}
	}

	private static FullHttpRequest get() {
		return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
	}

	private static void awaitQuietly(CountDownLatch latch) {
		try {
			latch.await(5, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void callAll(boolean attributed) {
		for (int i = 0; i < CALLS; i++) {
			CompletableFuture<Void> ended = new CompletableFuture<>();
			this.loop.execute(
					() -> this.pool.send(this.endpoint.address(), EndpointPoolTests::get, new Call(attributed, ended)));
			ended.join();
		}
	}

	private record Call(boolean attributed, CompletableFuture<Void> end) implements EndpointCall {

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
			return true;
		}

		@Override
		public boolean ended() {
			this.end.complete(null);
			return this.attributed;
		}

		@Override
		public void failed(CallFailure failure) {
			this.end.completeExceptionally(new AssertionError(failure));
		}

	}

}
