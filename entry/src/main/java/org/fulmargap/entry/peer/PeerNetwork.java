package org.fulmargap.entry.peer;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import org.fulmargap.entry.EventLog;

/**
 * The connections to the other entry VMs. Each VM sends only on connections that it
 * opened and reads only from those that it accepted. Confined to its event loop.
 */
public final class PeerNetwork {

	/** The interval of heartbeats to each peer, in milliseconds. */
	private static final long HEARTBEAT_MS = 250;

	/** A peer counts as lost after this time without a message, in milliseconds. */
	private static final long LOST_AFTER_MS = 900;

	/** A peer counts in shared limits until this long after its last message, in ms. */
	private static final long COUNTED_MS = 20_000;

	/** The first delay before a connection is retried, in milliseconds; it doubles. */
	private static final long RECONNECT_MS = 400;

	/** The longest delay before a connection is retried, in milliseconds. */
	private static final long MAX_RECONNECT_MS = 5_000;

	private static final int CONNECT_TIMEOUT_MS = 500;

	private static final int MAX_FRAME_BYTES = 4 << 20;

	private static final int LENGTH_BYTES = 4;

	/** Messages to a peer are dropped while more bytes than this are unsent. */
	private static final int MAX_UNSENT_BYTES = 1 << 20;

	private final String ownName;

	private final long startedAtMs;

	private final EventLoop loop;

	private final LongSupplier clockMs;

	private final Map<String, Peer> peers = new HashMap<>();

	private PeerListener listener;

	private String ownAddress;

	private boolean draining;

	private long lastTickAtMs;

	/**
	 * Creates a network without peers.
	 * @param ownName the name of this VM
	 * @param startedAtMs when this process started, in milliseconds since the epoch
	 * @param loop the event loop
	 * @param clockMs the current time in milliseconds
	 */
	public PeerNetwork(String ownName, long startedAtMs, EventLoop loop, LongSupplier clockMs) {
		this.ownName = ownName;
		this.startedAtMs = startedAtMs;
		this.loop = loop;
		this.clockMs = clockMs;
	}

	/**
	 * Starts to listen and to send heartbeats.
	 * @param ip the IP address to listen on
	 * @param port the port to listen on
	 * @param newListener handles messages and supplies the content of heartbeats
	 * @throws InterruptedException if the thread is interrupted meanwhile
	 */
	public void start(String ip, int port, PeerListener newListener) throws InterruptedException {
		this.listener = newListener;
		this.ownAddress = ip + ':' + port;
		new ServerBootstrap().group(this.loop)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel channel) {
					channel.pipeline().addLast(decoder(), new Receiver());
				}
			})
			.bind(new InetSocketAddress(ip, port))
			.sync();
		this.loop.scheduleWithFixedDelay(this::tick, HEARTBEAT_MS, HEARTBEAT_MS, TimeUnit.MILLISECONDS);
	}

	private static LengthFieldBasedFrameDecoder decoder() {
		return new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
	}

	/**
	 * Adds a VM or updates its address, and connects to it if the address is new. The
	 * name of this VM is ignored.
	 * @param vm the name of the VM
	 * @param address its address as {@code IP:port}
	 */
	public void updatePeer(String vm, String address) {
		if (vm.equals(this.ownName)) {
			return;
		}
		Peer peer = this.peers.computeIfAbsent(vm, (name) -> new Peer(name));
		if (!address.equals(peer.address)) {
			peer.address = address;
			peer.disconnect();
			peer.reconnectMs = RECONNECT_MS;
			peer.connect();
		}
	}

	/**
	 * Removes a VM that has left and closes the connection to it.
	 * @param vm the name of the VM
	 */
	public void removePeer(String vm) {
		Peer peer = this.peers.remove(vm);
		if (peer != null) {
			peer.removed = true;
			peer.disconnect();
			peer.markLost("left");
		}
	}

	/**
	 * Reports to the peers that this VM is shutting down; its services get other
	 * coordinators.
	 */
	public void drain() {
		this.draining = true;
		tick();
	}

	/**
	 * Returns the name of this VM.
	 * @return the name
	 */
	public String ownName() {
		return this.ownName;
	}

	/**
	 * Returns the number of entry VMs over which shared limits are divided: this one, the
	 * peers with a message in the last 20 s, and those that have not sent any yet.
	 * @return the number
	 */
	public int vmCount() {
		long nowMs = this.clockMs.getAsLong();
		int count = 1;
		for (Peer peer : this.peers.values()) {
			boolean counted = peer.lastContactAtMs == Long.MIN_VALUE || nowMs - peer.lastContactAtMs < COUNTED_MS;
			count += (counted) ? 1 : 0;
		}
		return count;
	}

	/**
	 * Returns the coordinator of a service, as seen by this VM: the one with the highest
	 * hash of service and name among this VM and the connected peers that are not
	 * draining. A draining VM names itself only if there is no other.
	 * @param service the name of the service
	 * @return the name of the coordinator
	 */
	public String coordinatorOf(String service) {
		String best = this.ownName;
		int bestRank = (this.draining) ? Integer.MIN_VALUE : rank(service, this.ownName);
		for (Peer peer : this.peers.values()) {
			if (peer.alive && !peer.draining && peer.isConnected()) {
				int rank = rank(service, peer.name);
				if (rank > bestRank) {
					best = peer.name;
					bestRank = rank;
				}
			}
		}
		return best;
	}

	private static int rank(String service, String vm) {
		int hash = (service + '@' + vm).hashCode() * 0x9E3779B9;
		return (hash ^ (hash >>> 15)) * 0x85EBCA6B;
	}

	/**
	 * Sends a message to a peer.
	 * @param vm the name of the peer
	 * @param message the message
	 * @return {@code false} if it was dropped because there is no connection or too many
	 * bytes are unsent; {@code true} does not mean that it was received
	 */
	public boolean send(String vm, PeerMessage message) {
		Peer peer = this.peers.get(vm);
		return peer != null && peer.send(message);
	}

	/**
	 * Sends a message to all connected peers.
	 * @param message the message
	 */
	public void sendAll(PeerMessage message) {
		byte[] frame = encode(message);
		this.peers.values().forEach((peer) -> peer.send(frame));
	}

	private byte[] encode(PeerMessage message) {
		return PeerCodec.encode(message, this.clockMs.getAsLong());
	}

	private void tick() {
		long nowMs = this.clockMs.getAsLong();
		boolean paused = nowMs - this.lastTickAtMs > LOST_AFTER_MS;
		this.lastTickAtMs = nowMs;
		// With many peers, encoding is most of a heartbeat's cost, so it is done once.
		HeartbeatContent content = HeartbeatContent.of(this.listener);
		byte[] toAlive = encode(content.heartbeat(this.draining, true));
		byte[] toLost = encode(content.heartbeat(this.draining, false));
		for (Peer peer : List.copyOf(this.peers.values())) {
			peer.send((peer.alive) ? toAlive : toLost);
			// After a pause of this process, messages that have arrived are read first.
			if (!paused && peer.alive && nowMs - peer.lastContactAtMs > LOST_AFTER_MS) {
				peer.markLost("silent");
				peer.disconnect();
				peer.connect();
			}
		}
	}

	private void received(Receiver receiver, PeerMessage message) {
		long nowMs = this.clockMs.getAsLong();
		if (message instanceof PeerMessage.Hello hello) {
			receiver.peer = this.peers.computeIfAbsent(hello.vm(), (name) -> new Peer(name));
			receiver.peer.receiver = receiver;
			receiver.peer.helloReceived(hello, nowMs);
			return;
		}
		Peer peer = receiver.peer;
		if (peer == null) {
			return;
		}
		peer.messageReceived(nowMs);
		if (message instanceof PeerMessage.Heartbeat heartbeat) {
			peer.heartbeatReceived(heartbeat, nowMs);
		}
		this.listener.received(peer.name, message);
	}

	/**
	 * The content that the heartbeats to all peers have in common.
	 */
	private record HeartbeatContent(List<PeerMessage.Load> loads, Map<String, int[]> admittedItems,
			Map<String, Double> availableEndpoints, List<Long> nextOffsets) {

		private static HeartbeatContent of(PeerListener listener) {
			return new HeartbeatContent(listener.loads(), listener.admittedItems(), listener.availableEndpoints(),
					listener.nextOffsets());
		}

		private PeerMessage.Heartbeat heartbeat(boolean draining, boolean receiving) {
			return new PeerMessage.Heartbeat(draining, receiving, this.loads, this.admittedItems,
					this.availableEndpoints, this.nextOffsets);
		}

	}

	/**
	 * Another entry VM.
	 */
	private final class Peer {

		private final String name;

		private String address;

		private Channel channel;

		private boolean connecting;

		private long reconnectMs = RECONNECT_MS;

		private long lastContactAtMs = Long.MIN_VALUE;

		private long peerStartedAtMs;

		private long connectedAtMs;

		private Receiver receiver;

		private boolean alive;

		private boolean draining;

		private boolean removed;

		private Peer(String name) {
			this.name = name;
		}

		private boolean isConnected() {
			return this.channel != null && this.channel.isActive();
		}

		private void connect() {
			if (this.connecting || this.removed || this.address == null || isConnected()) {
				return;
			}
			this.connecting = true;
			int colon = this.address.lastIndexOf(':');
			new Bootstrap().group(PeerNetwork.this.loop)
				.channel(NioSocketChannel.class)
				.option(ChannelOption.TCP_NODELAY, true)
				.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
				.handler(new ChannelInitializer<Channel>() {
					@Override
					protected void initChannel(Channel opened) {
						opened.pipeline().addLast(new LengthFieldPrepender(LENGTH_BYTES), new Sender(Peer.this));
					}
				})
				.connect(new InetSocketAddress(this.address.substring(0, colon),
						Integer.parseInt(this.address.substring(colon + 1))))
				.addListener((future) -> {
					this.connecting = false;
					if (!future.isSuccess()) {
						reconnectLater();
					}
				});
		}

		private void reconnectLater() {
			PeerNetwork.this.loop.schedule(this::connect, this.reconnectMs, TimeUnit.MILLISECONDS);
			this.reconnectMs = Math.min(MAX_RECONNECT_MS, this.reconnectMs * 2);
		}

		private void connected(Channel opened) {
			this.channel = opened;
			this.connectedAtMs = PeerNetwork.this.clockMs.getAsLong();
			this.reconnectMs = RECONNECT_MS;
			send(new PeerMessage.Hello(PeerNetwork.this.ownName, PeerNetwork.this.startedAtMs,
					PeerNetwork.this.ownAddress));
			send(HeartbeatContent.of(PeerNetwork.this.listener).heartbeat(PeerNetwork.this.draining, this.alive));
		}

		private void disconnected(Channel closed) {
			if (closed == this.channel) {
				this.channel = null;
				markLost("disconnected");
				reconnectLater();
			}
		}

		private void disconnect() {
			Channel open = this.channel;
			this.channel = null;
			if (open != null) {
				open.close();
			}
		}

		private boolean send(PeerMessage message) {
			return isConnected() && send(encode(message));
		}

		private boolean send(byte[] frame) {
			if (!isConnected()) {
				return false;
			}
			if (this.channel.unsafe().outboundBuffer().totalPendingWriteBytes() > MAX_UNSENT_BYTES) {
				return false;
			}
			this.channel.writeAndFlush(Unpooled.wrappedBuffer(frame));
			return true;
		}

		private void helloReceived(PeerMessage.Hello hello, long nowMs) {
			if (this.peerStartedAtMs != hello.startedAtMs()) {
				markLost("restarted");
				this.draining = false;
			}
			this.peerStartedAtMs = hello.startedAtMs();
			if (this.address == null) {
				this.address = hello.address();
			}
			messageReceived(nowMs);
			this.reconnectMs = RECONNECT_MS;
			connect();
		}

		private void messageReceived(long nowMs) {
			this.lastContactAtMs = nowMs;
			if (!this.alive) {
				this.alive = true;
				EventLog.state("peer_heard").with("peer", this.name).write();
			}
		}

		private void heartbeatReceived(PeerMessage.Heartbeat heartbeat, long nowMs) {
			if (heartbeat.draining() && !this.draining) {
				this.draining = true;
				EventLog.state("peer_draining").with("peer", this.name).write();
			}
			boolean notReceiving = !heartbeat.receiving() && isConnected()
					&& nowMs - this.connectedAtMs > LOST_AFTER_MS;
			if (notReceiving) {
				markLost("deaf");
				disconnect();
				connect();
			}
		}

		private void markLost(String reason) {
			if (this.alive) {
				EventLog.state("peer_lost")
					.with("peer", this.name)
					.with("reason", reason)
					.with("silent_ms", PeerNetwork.this.clockMs.getAsLong() - this.lastContactAtMs)
					.write();
			}
			this.alive = false;
			PeerNetwork.this.listener.peerLost(this.name);
		}

	}

	/**
	 * Handles the sending end of a connection.
	 */
	private static final class Sender extends SimpleChannelInboundHandler<ByteBuf> {

		private final Peer peer;

		private Sender(Peer peer) {
			this.peer = peer;
		}

		@Override
		public void channelActive(ChannelHandlerContext context) {
			this.peer.connected(context.channel());
		}

		@Override
		protected void channelRead0(ChannelHandlerContext context, ByteBuf unexpected) {
			context.close();
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			this.peer.disconnected(context.channel());
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			context.close();
		}

	}

	/**
	 * Handles the receiving end of a connection.
	 */
	private final class Receiver extends SimpleChannelInboundHandler<ByteBuf> {

		private Peer peer;

		@Override
		protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) throws Exception {
			received(this, PeerCodec.decode(ByteBufUtil.getBytes(frame), PeerNetwork.this.clockMs.getAsLong()));
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			if (this.peer != null && this.peer.receiver == this) {
				this.peer.receiver = null;
				this.peer.markLost("closed");
			}
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			EventLog.state("peer_frame_refused").with("cause", cause).write();
			context.close();
		}

	}

}
