package org.fulmargap.entry.endpoint;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

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

/**
 * Tests of {@link EndpointPool} with an endpoint that announces that it wants no new work
 * while a connection to it is opened: the request would reach it after that.
 */
class WithdrawnCallTests {

	private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = (EventLoop) this.group.next();

	private final AtomicInteger arrivals = new AtomicInteger();

	private RawEndpointStandIn endpoint;

	@BeforeEach
	void start() throws Exception {
		this.endpoint = new RawEndpointStandIn((connection, path, body, out) -> {
			this.arrivals.incrementAndGet();
			out.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
		});
	}

	@AfterEach
	void stop() throws Exception {
		this.endpoint.close();
		this.group.shutdownGracefully();
	}

	@Test
	void aRequestIsNotSentIfItsCallIsWithdrawnBeforeTheConnectionIsOpen() throws Exception {
		EndpointPool pool = new EndpointPool(this.loop, System::currentTimeMillis,
				new LoopStalls(this.loop, System::currentTimeMillis));
		AtomicInteger made = new AtomicInteger();
		Supplier<FullHttpRequest> request = () -> {
			made.incrementAndGet();
			return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
		};
		CompletableFuture<CallFailure> failure = new CompletableFuture<>();
		this.loop.execute(
				() -> pool.send(this.endpoint.address(), request, new WithdrawnCall(failure, new AtomicInteger())));
		assertThat(failure.get()).isEqualTo(CallFailure.WITHDRAWN);
		assertThat(made).hasValue(0);
		assertThat(this.arrivals).hasValue(0);
	}

	@Test
	void aRequestIsNotSentIfItsCallIsWithdrawnWhileItIsEncoded() throws Exception {
		EndpointPool pool = new EndpointPool(this.loop, System::currentTimeMillis,
				new LoopStalls(this.loop, System::currentTimeMillis));
		FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
		CompletableFuture<CallFailure> failure = new CompletableFuture<>();
		this.loop.execute(() -> pool.send(this.endpoint.address(), () -> request,
				new WithdrawnCall(failure, new AtomicInteger(1))));
		assertThat(failure.get()).isEqualTo(CallFailure.WITHDRAWN);
		assertThat(request.refCnt()).isZero();
		Thread.sleep(100);
		assertThat(this.arrivals).hasValue(0);
	}

	private record WithdrawnCall(CompletableFuture<CallFailure> failure,
			AtomicInteger permissions) implements EndpointCall {

		@Override
		public String attemptId() {
			return "";
		}

		@Override
		public boolean maySend() {
			return this.permissions.getAndDecrement() > 0;
		}

		@Override
		public void answered(EndpointAnswer answer, HttpResponse head) {
			this.failure.completeExceptionally(new AssertionError("answered"));
		}

		@Override
		public boolean received(ByteBuf content) {
			return true;
		}

		@Override
		public boolean ended() {
			return true;
		}

		@Override
		public void failed(CallFailure newFailure) {
			this.failure.complete(newFailure);
		}

	}

}
