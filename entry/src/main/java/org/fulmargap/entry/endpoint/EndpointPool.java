package org.fulmargap.entry.endpoint;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import org.fulmargap.entry.LoopStalls;

/**
 * A pool of keep-alive connections to endpoints. Confined to its event loop.
 */
public final class EndpointPool implements AutoCloseable {

	/** The connect timeout in milliseconds. */
	private static final int CONNECT_TIMEOUT_MS = 250;

	/** The idle timeout if the endpoint does not state one, in milliseconds. */
	private static final long DEFAULT_IDLE_MS = 900;

	/** Idle connections are closed this long before the idle timeout, in milliseconds. */
	private static final long IDLE_MARGIN_MS = 300;

	/** The interval at which connections that were idle too long are closed, in ms. */
	private static final long SWEEP_INTERVAL_MS = 500;

	private final EventLoop loop;

	private final LongSupplier clockMs;

	private final LoopStalls stalls;

	private final Bootstrap bootstrap;

	private final Map<String, Deque<EndpointConnection>> idleByAddress = new HashMap<>();

	private final Map<String, List<Consumer<Boolean>>> probes = new HashMap<>();

	private final AnswerMemory answerMemory = new AnswerMemory();

	private long connects;

	/**
	 * Creates a pool.
	 * @param loop the event loop of all connections
	 * @param clockMs the current time in milliseconds
	 * @param stalls the stalls of the event loop
	 */
	public EndpointPool(EventLoop loop, LongSupplier clockMs, LoopStalls stalls) {
		this.loop = loop;
		this.clockMs = clockMs;
		this.stalls = stalls;
		this.bootstrap = new Bootstrap().group(loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
			// A body without a length ends with the endpoint's output, not with any
			// close.
			.option(ChannelOption.ALLOW_HALF_CLOSURE, true)
			.handler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel channel) {
					channel.pipeline().addLast(new HttpRequestEncoder());
				}
			});
		loop.scheduleWithFixedDelay(this::sweep, SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Sends a request to an endpoint, on an idle connection or a new one. After a stall
	 * of the event loop, it first reads what has arrived, such as the end of the caller's
	 * connection.
	 * @param address the address as {@code IP:port}
	 * @param request makes the request at the moment of sending; the pool releases it
	 * @param call receives the answer or the failure
	 * @return the call
	 */
	public RunningCall send(String address, Supplier<FullHttpRequest> request, EndpointCall call) {
		PendingCall pending = new PendingCall(request, call);
		if (this.stalls.isRecent()) {
			this.stalls.afterPoll(() -> sendPending(address, pending));
			return pending;
		}
		EndpointConnection idle = takeIdle(address);
		if (idle != null) {
			idle.send(request, call);
			return idle;
		}
		connect(address, pending);
		return pending;
	}

	private void sendPending(String address, PendingCall pending) {
		if (pending.cancelled) {
			return;
		}
		EndpointConnection idle = takeIdle(address);
		if (idle != null) {
			pending.sendOn(idle);
		}
		else {
			connect(address, pending);
		}
	}

	/**
	 * Sends a request to an endpoint on a new connection, as is needed when a call with
	 * the same attempt id was made to its address before: on a connection that has
	 * carried both calls, the answer to one could be taken for the answer to the other.
	 * @param address the address as {@code IP:port}
	 * @param request makes the request at the moment of sending; the pool releases it
	 * @param call receives the answer or the failure
	 * @return the call
	 */
	public RunningCall sendOnNewConnection(String address, Supplier<FullHttpRequest> request, EndpointCall call) {
		PendingCall pending = new PendingCall(request, call);
		connect(address, pending);
		return pending;
	}

	private void connect(String address, PendingCall pending) {
		this.connects++;
		ChannelFuture future = this.bootstrap.connect(socketAddress(address));
		pending.channel = future.channel();
		future.addListener((connected) -> {
			if (pending.cancelled) {
				future.channel().close();
			}
			else if (!connected.isSuccess()) {
				pending.call.failed(CallFailure.NOT_CONNECTED);
			}
			else {
				connected(address, pending);
			}
		});
	}

	private void connected(String address, PendingCall pending) {
		EndpointConnection connection = new EndpointConnection(this, address, pending.channel);
		pending.channel.pipeline().addLast(connection.decoder(), connection);
		if (this.stalls.isRecent()) {
			this.stalls.afterPoll(() -> pending.sendOn(connection));
		}
		else {
			pending.sendOn(connection);
		}
	}

	/**
	 * Checks whether an endpoint accepts connections, by opening and closing one.
	 * Concurrent probes of one address share one connection attempt.
	 * @param address the address as {@code IP:port}
	 * @param reachable receives {@code true} if a connection could be opened
	 */
	public void probe(String address, Consumer<Boolean> reachable) {
		List<Consumer<Boolean>> waiting = this.probes.get(address);
		if (waiting != null) {
			waiting.add(reachable);
			return;
		}
		this.probes.put(address, new ArrayList<>(List.of(reachable)));
		this.connects++;
		this.bootstrap.connect(socketAddress(address)).addListener((ChannelFuture future) -> {
			future.channel().close();
			this.probes.remove(address).forEach((listener) -> listener.accept(future.isSuccess()));
		});
	}

	private static InetSocketAddress socketAddress(String address) {
		int colon = address.lastIndexOf(':');
		return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
	}

	private EndpointConnection takeIdle(String address) {
		Deque<EndpointConnection> idle = this.idleByAddress.get(address);
		while (idle != null && !idle.isEmpty()) {
			EndpointConnection connection = idle.pollLast();
			if (connection.isOpen() && !isIdleTooLong(connection)) {
				return connection;
			}
			connection.close();
		}
		return null;
	}

	private boolean isIdleTooLong(EndpointConnection connection) {
		long timeoutMs = (connection.idleTimeoutMs() > 0) ? connection.idleTimeoutMs() : DEFAULT_IDLE_MS;
		return this.clockMs.getAsLong() - connection.idleSinceMs() > timeoutMs - IDLE_MARGIN_MS;
	}

	private void sweep() {
		for (Deque<EndpointConnection> idle : this.idleByAddress.values()) {
			while (!idle.isEmpty() && isIdleTooLong(idle.peekFirst())) {
				idle.pollFirst().close();
			}
		}
		this.idleByAddress.values().removeIf(Deque::isEmpty);
	}

	void release(EndpointConnection connection) {
		if (connection.isOpen()) {
			this.idleByAddress.computeIfAbsent(connection.address(), (address) -> new ArrayDeque<>())
				.addLast(connection);
		}
	}

	void closed(EndpointConnection connection) {
		Deque<EndpointConnection> idle = this.idleByAddress.get(connection.address());
		if (idle != null) {
			idle.remove(connection);
		}
	}

	long nowMs() {
		return this.clockMs.getAsLong();
	}

	/**
	 * Returns the memory for answers that are received.
	 * @return the memory that all calls of this pool share
	 */
	public AnswerMemory answerMemory() {
		return this.answerMemory;
	}

	/**
	 * Returns the number of connection attempts, including probes and failed ones.
	 * @return the number since the start
	 */
	public long connects() {
		return this.connects;
	}

	@Override
	public void close() {
		this.loop.execute(() -> this.idleByAddress.values().forEach((idle) -> idle.forEach(EndpointConnection::close)));
	}

	/**
	 * A call that was sent and has not ended.
	 */
	public interface RunningCall {

		/**
		 * Cancels the call and closes its connection; no method of the call is called
		 * after this.
		 */
		void cancel();

		/**
		 * Sets whether the answer is read. While it is not, the endpoint is slowed down
		 * by its connection, and the end of the connection is not noticed. Bytes that
		 * were read before still reach the call.
		 * @param reading {@code false} to stop reading until further notice
		 */
		void reading(boolean reading);

		/**
		 * Returns the local port of the connection, which names it in the log.
		 * @return the port, or 0 if there is no connection
		 */
		int localPort();

	}

	/**
	 * A call that waits for its connection, or has one.
	 */
	private static final class PendingCall implements RunningCall {

		private final Supplier<FullHttpRequest> request;

		private final EndpointCall call;

		// Null until a new connection is opened.
		private Channel channel;

		// Null until the request is sent.
		private EndpointConnection connection;

		private boolean cancelled;

		private boolean reading = true;

		private PendingCall(Supplier<FullHttpRequest> request, EndpointCall call) {
			this.request = request;
			this.call = call;
		}

		private void sendOn(EndpointConnection opened) {
			if (this.cancelled) {
				opened.close();
			}
			else if (!opened.isOpen() || !this.call.maySend()) {
				opened.close();
				this.call.failed(CallFailure.WITHDRAWN);
			}
			else {
				this.connection = opened;
				opened.reading(this.reading);
				opened.send(this.request, this.call);
			}
		}

		@Override
		public void cancel() {
			this.cancelled = true;
			if (this.connection != null) {
				this.connection.cancel();
			}
			else if (this.channel != null) {
				this.channel.close();
			}
		}

		@Override
		public void reading(boolean newReading) {
			this.reading = newReading;
			if (this.connection != null) {
				this.connection.reading(newReading);
			}
		}

		@Override
		public int localPort() {
			return (this.connection != null) ? this.connection.localPort() : 0;
		}

	}

}
