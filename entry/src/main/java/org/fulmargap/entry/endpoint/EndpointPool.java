package org.fulmargap.entry.endpoint;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import org.fulmargap.entry.EntryMetrics;
import org.fulmargap.entry.LoopStalls;
import org.fulmargap.placement.EndpointDirectory;

/**
 * A pool of keep-alive connections to endpoints. Confined to its event loop.
 */
public final class EndpointPool implements AutoCloseable {

	/** The idle timeout if the endpoint does not state one, in milliseconds. */
	private static final long DEFAULT_IDLE_MS = 900;

	/** Idle connections are closed this long before the idle timeout, in milliseconds. */
	private static final long IDLE_MARGIN_MS = 300;

	/** The interval at which idle connections of no further use are closed, in ms. */
	private static final long SWEEP_INTERVAL_MS = 500;

	/** The interval at which it is checked that endpoints send something, in ms. */
	private static final long SILENCE_INTERVAL_MS = 250;

	private final EventLoop loop;

	private final LongSupplier clockMs;

	private final LoopStalls stalls;

	private final EndpointConnector connector;

	private final Map<String, Deque<EndpointConnection>> idleByAddress = new HashMap<>();

	private final Map<String, List<Consumer<Boolean>>> probes = new HashMap<>();

	private final AnswerMemory answerMemory = new AnswerMemory();

	// The direct connections with a call.
	private final Set<EndpointConnection> calling = new HashSet<>();

	private long callingSinceMs;

	/**
	 * Creates a pool of a VM that knows no other one.
	 * @param loop the event loop of all connections
	 * @param clockMs the current time in milliseconds
	 * @param stalls the stalls of the event loop
	 */
	public EndpointPool(EventLoop loop, LongSupplier clockMs, LoopStalls stalls) {
		this(loop, clockMs, stalls, new EndpointConnector(loop, clockMs, new EndpointDirectory(), "",
				EndpointRelays.NONE, UnaryOperator.identity(), new EntryMetrics()));
	}

	/**
	 * Creates a pool.
	 * @param loop the event loop of all connections
	 * @param clockMs the current time in milliseconds
	 * @param stalls the stalls of the event loop
	 * @param connector opens the connections
	 */
	public EndpointPool(EventLoop loop, LongSupplier clockMs, LoopStalls stalls, EndpointConnector connector) {
		this.loop = loop;
		this.clockMs = clockMs;
		this.stalls = stalls;
		this.connector = connector;
		connector.onChange((isCutOff) -> closeIdle());
		loop.scheduleWithFixedDelay(this::sweep, SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
		loop.scheduleWithFixedDelay(this::checkSilence, SILENCE_INTERVAL_MS, SILENCE_INTERVAL_MS,
				TimeUnit.MILLISECONDS);
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
		pending.opening = this.connector.open(address, new EndpointConnector.Listener() {
			@Override
			public void opened(Channel channel, String relay) {
				connected(new EndpointConnection(EndpointPool.this, address, channel, relay), channel, pending);
			}

			@Override
			public void failed() {
				pending.call.failed(CallFailure.NOT_CONNECTED);
			}

			@Override
			public void unavailable() {
				pending.call.failed(CallFailure.CUT_OFF);
			}
		});
	}

	private void connected(EndpointConnection connection, Channel channel, PendingCall pending) {
		channel.pipeline().addLast(new HttpRequestEncoder(), connection.decoder(), connection);
		if (this.stalls.isRecent()) {
			this.stalls.afterPoll(() -> pending.sendOn(connection));
		}
		else {
			pending.sendOn(connection);
		}
	}

	/**
	 * Checks whether an endpoint accepts connections, by opening and closing one; through
	 * another VM while this one is cut off, so that its own links don't matter.
	 * Concurrent probes of one address share one connection attempt.
	 * @param address the address as {@code IP:port}
	 * @param reachable receives {@code false} if the endpoint accepts no connection;
	 * {@code true} also if that can't be found out, because no VM could help
	 */
	public void probe(String address, Consumer<Boolean> reachable) {
		List<Consumer<Boolean>> waiting = this.probes.get(address);
		if (waiting != null) {
			waiting.add(reachable);
			return;
		}
		this.probes.put(address, new ArrayList<>(List.of(reachable)));
		this.connector.open(address, new EndpointConnector.Listener() {
			@Override
			public void opened(Channel channel, String relay) {
				channel.close();
				probed(address, true);
			}

			@Override
			public void failed() {
				probed(address, false);
			}

			@Override
			public void unavailable() {
				probed(address, true);
			}
		});
	}

	private void probed(String address, boolean isReachable) {
		this.probes.remove(address).forEach((listener) -> listener.accept(isReachable));
	}

	private EndpointConnection takeIdle(String address) {
		Deque<EndpointConnection> idle = this.idleByAddress.get(address);
		while (idle != null && !idle.isEmpty()) {
			EndpointConnection connection = idle.pollLast();
			if (connection.isOpen() && !isIdleTooLong(connection) && this.connector.isUsable(connection.relay())) {
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
			List<EndpointConnection> stale = idle.stream()
				.filter((connection) -> isIdleTooLong(connection) || !this.connector.isUsable(connection.relay()))
				.toList();
			idle.removeAll(stale);
			stale.forEach(EndpointConnection::close);
		}
		this.idleByAddress.values().removeIf(Deque::isEmpty);
	}

	private void checkSilence() {
		if (!this.calling.isEmpty()) {
			this.connector.checkSilence(this.callingSinceMs);
		}
	}

	void callStarted(EndpointConnection connection) {
		if (connection.isRelayed()) {
			return;
		}
		if (this.calling.isEmpty()) {
			this.callingSinceMs = this.clockMs.getAsLong();
		}
		this.calling.add(connection);
	}

	void callEnded(EndpointConnection connection) {
		this.calling.remove(connection);
	}

	void received(EndpointConnection connection) {
		if (!connection.isRelayed()) {
			this.connector.heard();
		}
	}

	void release(EndpointConnection connection) {
		if (!this.connector.isUsable(connection.relay())) {
			connection.close();
		}
		else if (connection.isOpen()) {
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
	 * Returns the number of direct connection attempts, including probes and failed ones.
	 * @return the number since the start
	 */
	public long connects() {
		return this.connector.connects();
	}

	/**
	 * Returns whether no endpoint can be reached, directly or through another VM.
	 * @return {@code true} if calls would fail
	 */
	public boolean isCutOff() {
		return this.connector.isWithoutRelay();
	}

	private void closeIdle() {
		List<EndpointConnection> idle = this.idleByAddress.values().stream().flatMap(Deque::stream).toList();
		this.idleByAddress.clear();
		idle.forEach(EndpointConnection::close);
	}

	@Override
	public void close() {
		this.loop.execute(this::closeIdle);
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

		/**
		 * Returns the VM through which the connection goes, for the log.
		 * @return its name, or an empty string if the connection is a direct one or there
		 * is none
		 */
		String relay();

	}

	/**
	 * A call that waits for its connection, or has one.
	 */
	private static final class PendingCall implements RunningCall {

		private final Supplier<FullHttpRequest> request;

		private final EndpointCall call;

		// Null unless a new connection is opened.
		private EndpointConnector.Opening opening;

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
			else if (this.opening != null) {
				this.opening.cancel();
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

		@Override
		public String relay() {
			return (this.connection != null) ? this.connection.relay() : EndpointConnector.DIRECT;
		}

	}

}
