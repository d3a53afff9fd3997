package org.fulmargap.entry.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldPrepender;

/**
 * The connection on which this VM sends to another one. It is opened when it is first
 * needed and reopened when it breaks. Confined to the event loop.
 */
final class PeerLink implements AutoCloseable {

	/** The first delay before a connection is retried, in milliseconds; it doubles. */
	private static final long RECONNECT_MS = 400;

	/** The longest delay before a connection is retried, in milliseconds. */
	private static final long MAX_RECONNECT_MS = 5_000;

	private static final int CONNECT_TIMEOUT_MS = 500;

	/** Messages are dropped while more bytes than this are unsent. */
	private static final int MAX_UNSENT_BYTES = 1 << 20;

	private final EventLoop loop;

	private final Listener listener;

	private final List<byte[]> waiting = new ArrayList<>();

	private long waitingBytes;

	private String address;

	private Channel channel;

	private State state = State.UNUSED;

	private long reconnectMs = RECONNECT_MS;

	PeerLink(EventLoop loop, Listener listener) {
		this.loop = Objects.requireNonNull(loop, "loop");
		this.listener = Objects.requireNonNull(listener, "listener");
	}

	/**
	 * Sets the address. A connection to another address is closed.
	 * @param newAddress the address as {@code IP:port}
	 */
	void address(String newAddress) {
		if (newAddress.equals(this.address)) {
			return;
		}
		this.address = newAddress;
		if (this.state != State.UNUSED) {
			reopen();
		}
	}

	boolean isConnected() {
		return this.channel != null && this.channel.isActive();
	}

	/**
	 * Sends a frame, after the connection has been opened if there is none.
	 * @param frame the frame
	 * @return {@code false} if it was dropped because the last attempt to connect failed
	 * or too many bytes are unsent; {@code true} does not mean that it was received
	 */
	boolean send(byte[] frame) {
		if (isConnected()) {
			return write(frame);
		}
		if (this.state == State.UNUSED) {
			open();
		}
		if (this.state != State.OPENING || this.waitingBytes + frame.length > MAX_UNSENT_BYTES) {
			return false;
		}
		this.waiting.add(frame);
		this.waitingBytes += frame.length;
		return true;
	}

	private boolean write(byte[] frame) {
		if (this.channel.unsafe().outboundBuffer().totalPendingWriteBytes() > MAX_UNSENT_BYTES) {
			return false;
		}
		this.channel.writeAndFlush(Unpooled.wrappedBuffer(frame));
		return true;
	}

	/**
	 * Opens the connection if there is none.
	 */
	void open() {
		if (this.state == State.CLOSED || this.state == State.OPENING || this.address == null || isConnected()) {
			return;
		}
		this.state = State.OPENING;
		new Bootstrap().group(this.loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
			.handler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel opened) {
					opened.pipeline().addLast(new LengthFieldPrepender(PeerNetwork.LENGTH_BYTES), new Sender());
				}
			})
			.connect(PeerNetwork.socketAddress(this.address))
			.addListener((future) -> {
				if (!future.isSuccess()) {
					failed();
				}
			});
	}

	/** Closes the connection, because it delivers nothing, and opens another one. */
	void reopen() {
		disconnect();
		if (this.state != State.CLOSED) {
			this.state = State.UNUSED;
			open();
		}
	}

	/** Makes the next attempt to connect follow soon. */
	void resetDelay() {
		this.reconnectMs = RECONNECT_MS;
	}

	private void connected(Channel opened) {
		if (this.state == State.CLOSED) {
			opened.close();
			return;
		}
		disconnect();
		this.channel = opened;
		this.state = State.OPEN;
		this.reconnectMs = RECONNECT_MS;
		this.listener.connected();
		List<byte[]> frames = List.copyOf(this.waiting);
		dropWaiting();
		frames.forEach(this::send);
	}

	private void disconnected(Channel closed) {
		if (closed == this.channel) {
			this.channel = null;
			failed();
		}
	}

	private void failed() {
		dropWaiting();
		if (this.state == State.CLOSED) {
			return;
		}
		this.state = State.FAILED;
		this.loop.schedule(this::open, this.reconnectMs, TimeUnit.MILLISECONDS);
		this.reconnectMs = Math.min(MAX_RECONNECT_MS, this.reconnectMs * 2);
		this.listener.disconnected();
	}

	private void dropWaiting() {
		this.waiting.clear();
		this.waitingBytes = 0;
	}

	private void disconnect() {
		Channel open = this.channel;
		this.channel = null;
		if (open != null) {
			open.close();
		}
	}

	@Override
	public void close() {
		this.state = State.CLOSED;
		dropWaiting();
		disconnect();
	}

	private enum State {

		/** Nothing was sent yet. */
		UNUSED,

		/** A connection is being opened; frames wait for it. */
		OPENING,

		/** The connection is open. */
		OPEN,

		/** The connection broke or could not be opened; it is retried later. */
		FAILED,

		/** The VM has left. */
		CLOSED

	}

	/**
	 * Is told of changes of the connection.
	 */
	interface Listener {

		/** Handles a new connection, before waiting frames are sent on it. */
		void connected();

		/** Handles a connection that broke or could not be opened. */
		void disconnected();

	}

	/**
	 * Handles the events of the connection, on which nothing is ever received.
	 */
	private final class Sender extends SimpleChannelInboundHandler<ByteBuf> {

		@Override
		public void channelActive(ChannelHandlerContext context) {
			connected(context.channel());
		}

		@Override
		protected void channelRead0(ChannelHandlerContext context, ByteBuf unexpected) {
			context.close();
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			disconnected(context.channel());
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			context.close();
		}

	}

}
