package org.fulmargap.entry.peer;

import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;

/**
 * Passes bytes on between another VM and an endpoint, and how each side ends: the end of
 * the endpoint's output, a reset, and the close of the VM. A side is not read while the
 * other one takes no bytes. Confined to the event loop.
 */
final class Relay {

	/**
	 * A relay without any bytes for this time is closed, in milliseconds: the other VM
	 * may be gone. It is longer than any request takes.
	 */
	private static final long IDLE_MS = 60_000;

	private final Channel peer;

	private final Channel endpoint;

	private final boolean writesFrames;

	private final BiConsumer<Relay, RelayEnd> closed;

	private boolean isClosed;

	private boolean endpointEnded;

	/**
	 * Creates a relay that does not pass anything on yet.
	 * @param peer the connection of the other VM
	 * @param endpoint the connection to the endpoint
	 * @param outcome what the other VM was told, which says how it gets the output
	 * @param closed is told of the end and its reason
	 */
	Relay(Channel peer, Channel endpoint, RelayOutcome outcome, BiConsumer<Relay, RelayEnd> closed) {
		this.peer = peer;
		this.endpoint = endpoint;
		this.writesFrames = outcome == RelayOutcome.OPEN_WITH_FRAMES;
		this.closed = closed;
	}

	/** Starts to pass bytes on, unless the other VM has closed its connection. */
	void start() {
		if (!this.peer.isActive()) {
			close(RelayEnd.PEER_CLOSED);
			return;
		}
		// Any close resets the connection, also by the kernel if this process is killed:
		// it is no end of the endpoint's output.
		this.peer.config().setOption(ChannelOption.SO_LINGER, 0);
		this.peer.pipeline().addLast(new IdleStateHandler(0, 0, IDLE_MS, TimeUnit.MILLISECONDS), new FromPeer());
		this.endpoint.pipeline().addLast(new FromEndpoint());
	}

	private void close(RelayEnd end) {
		if (!this.isClosed) {
			this.isClosed = true;
			this.peer.close();
			this.endpoint.close();
			this.closed.accept(this, end);
		}
	}

	/**
	 * Passes on what one side sends.
	 */
	private abstract static class Side extends ChannelInboundHandlerAdapter {

		private final Channel target;

		private Side(Channel target) {
			this.target = target;
		}

		@Override
		public void channelRead(ChannelHandlerContext context, Object bytes) {
			write(this.target, bytes);
			if (!this.target.isWritable()) {
				context.channel().config().setAutoRead(false);
			}
		}

		void write(Channel to, Object bytes) {
			to.write(bytes);
		}

		@Override
		public void channelReadComplete(ChannelHandlerContext context) {
			this.target.flush();
		}

		// This side can be written to again, so the other one is read again.
		@Override
		public void channelWritabilityChanged(ChannelHandlerContext context) {
			this.target.config().setAutoRead(context.channel().isWritable());
		}

	}

	private final class FromPeer extends Side {

		private FromPeer() {
			super(Relay.this.endpoint);
		}

		@Override
		public void userEventTriggered(ChannelHandlerContext context, Object event) {
			if (event instanceof IdleStateEvent) {
				close(RelayEnd.IDLE);
			}
			else if (event instanceof ChannelInputShutdownEvent) {
				peerClosed();
			}
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			peerClosed();
		}

		private void peerClosed() {
			close((Relay.this.endpointEnded) ? RelayEnd.ENDPOINT_ENDED : RelayEnd.PEER_CLOSED);
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			close(RelayEnd.PEER_BROKEN);
		}

	}

	private final class FromEndpoint extends Side {

		private FromEndpoint() {
			super(Relay.this.peer);
		}

		@Override
		void write(Channel to, Object bytes) {
			if (Relay.this.writesFrames) {
				to.write(RelayFrames.header(((ByteBuf) bytes).readableBytes()));
			}
			to.write(bytes);
		}

		@Override
		public void userEventTriggered(ChannelHandlerContext context, Object event) {
			if (event instanceof ChannelInputShutdownEvent) {
				Relay.this.endpointEnded = true;
				Relay.this.peer.writeAndFlush((Relay.this.writesFrames) ? RelayFrames.end() : Unpooled.EMPTY_BUFFER)
					.addListener((written) -> ((DuplexChannel) Relay.this.peer).shutdownOutput())
					.addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
			}
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			close(RelayEnd.ENDPOINT_BROKEN);
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			close(RelayEnd.ENDPOINT_BROKEN);
		}

	}

}
