package org.fulmargap.entry.caller;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import org.fulmargap.catalog.RequestLimits;
import org.fulmargap.entry.ListeningPort;
import org.fulmargap.entry.LoopStalls;

/**
 * Accepts the connections of callers. Confined to its event loop.
 */
public final class CallerServer {

	private static final int BACKLOG = 1_024;

	private static final int MAX_CHUNK_BYTES = 65_536;

	/** The most that is read from a connection at once, in bytes. */
	private static final int MAX_READ_BYTES = 16_384;

	private static final int FIRST_READ_BYTES = 2_048;

	private static final int MIN_READ_BYTES = 512;

	private static final long SWEEP_INTERVAL_MS = 1_000;

	/** What callers may leave unread of all answers together, in bytes. */
	private static final long MAX_UNREAD_BYTES = 16L << 20;

	private final EventLoop loop;

	private final LongSupplier clockMs;

	private final LoopStalls stalls;

	private final Supplier<RequestLimits> limits;

	private final Set<CallerConnection> connections = new HashSet<>();

	private final CallerHandler handler;

	private final RequestMemory memory = new RequestMemory();

	private boolean draining;

	private ListeningPort port;

	/**
	 * Creates a server that does not listen yet.
	 * @param loop the event loop of all connections
	 * @param clockMs the current time in milliseconds
	 * @param stalls the stalls of the event loop
	 * @param limits supplies the limits of requests; new connections use the current ones
	 * @param handler handles the requests
	 */
	public CallerServer(EventLoop loop, LongSupplier clockMs, LoopStalls stalls, Supplier<RequestLimits> limits,
			CallerHandler handler) {
		this.loop = loop;
		this.clockMs = clockMs;
		this.stalls = stalls;
		this.limits = limits;
		this.handler = handler;
	}

	/**
	 * Starts to listen, later if the port can't be opened yet.
	 * @param address the address as {@code IP:port}
	 * @throws InterruptedException if the thread is interrupted meanwhile
	 */
	public void listen(String address) throws InterruptedException {
		int colon = address.lastIndexOf(':');
		ServerBootstrap bootstrap = new ServerBootstrap().group(this.loop)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, BACKLOG)
			.option(ChannelOption.SO_REUSEADDR, true)
			// All connections that wait after a stall are accepted at once, so that the
			// stall counts for each.
			.option(ChannelOption.RECVBUF_ALLOCATOR,
					new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(BACKLOG))
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.RECVBUF_ALLOCATOR,
					new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES))
			.childHandler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel channel) {
					addHandlers(channel);
				}
			});
		this.port = new ListeningPort(this.loop, bootstrap,
				new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
				ListeningPort.MAX_RETRY_MS);
		this.port.open();
		this.loop.scheduleWithFixedDelay(this::closeIdle, SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Returns whether callers can connect.
	 * @return {@code true} if the port is open
	 */
	public boolean isListening() {
		return this.port.isOpen();
	}

	private void addHandlers(Channel channel) {
		RequestLimits bounds = this.limits.get();
		CallerConnection connection = new CallerConnection(this);
		channel.pipeline()
			.addLast(new HttpRequestDecoder(bounds.maxHeaderBytes(), bounds.maxHeaderBytes(), MAX_CHUNK_BYTES),
					new HttpResponseEncoder(), new RequestAggregator(bounds.maxBodyBytes(), connection), connection);
	}

	void closeIdle() {
		long nowMs = this.clockMs.getAsLong();
		long idleTimeoutMs = this.limits.get().idleTimeoutMs();
		List.copyOf(this.connections).forEach((connection) -> connection.closeIfIdle(nowMs, idleTimeoutMs));
	}

	/**
	 * Starts to drain: answers are sent with {@code Connection: close}, and their
	 * connections are closed after them.
	 */
	public void drain() {
		this.draining = true;
	}

	/**
	 * Closes the connections without a request in flight.
	 */
	public void closeUnused() {
		List.copyOf(this.connections).forEach(CallerConnection::closeIfUnused);
	}

	/**
	 * Accepts and reads no further requests, so that each one that was read gets its
	 * answer before the process ends. Unused connections are closed, so that their
	 * callers don't wait for the end of the process.
	 */
	public void stopReading() {
		this.port.close();
		this.connections.forEach(CallerConnection::stopReading);
		closeUnused();
	}

	/**
	 * Returns the number of connections with a request in flight.
	 * @return the number
	 */
	public long busyConnections() {
		return this.connections.stream().filter(CallerConnection::isBusy).count();
	}

	boolean isDraining() {
		return this.draining;
	}

	CallerHandler handler() {
		return this.handler;
	}

	LoopStalls stalls() {
		return this.stalls;
	}

	/**
	 * Returns what the bodies of all requests hold.
	 * @return the number of bytes
	 */
	public long requestBytes() {
		return this.memory.usedBytes();
	}

	RequestMemory memory() {
		return this.memory;
	}

	long nowMs() {
		return this.clockMs.getAsLong();
	}

	/**
	 * Closes the connections whose callers have taken nothing for longest, until what all
	 * callers have left unread is within its limit. The last one always goes on.
	 */
	void limitUnread() {
		List<CallerConnection> slow = new ArrayList<>(this.connections);
		slow.removeIf((connection) -> !connection.isSlow());
		slow.sort(Comparator.comparingLong(CallerConnection::idleSinceMs));
		long unreadBytes = slow.stream().mapToLong(CallerConnection::queuedBytes).sum();
		for (CallerConnection connection : slow.subList(0, Math.max(0, slow.size() - 1))) {
			if (unreadBytes <= MAX_UNREAD_BYTES) {
				return;
			}
			unreadBytes -= connection.queuedBytes();
			connection.closeUnread();
		}
	}

	void opened(CallerConnection connection) {
		this.connections.add(connection);
	}

	void closed(CallerConnection connection) {
		this.connections.remove(connection);
	}

}
