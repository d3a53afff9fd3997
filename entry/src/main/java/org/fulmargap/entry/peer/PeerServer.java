package org.fulmargap.entry.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.LongSupplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import org.fulmargap.entry.EventLog;
import org.fulmargap.entry.ListeningPort;
import org.fulmargap.entry.LoopStalls;

/**
 * Accepts the connections on which other VMs send. Confined to the event loop.
 */
final class PeerServer {

	static final int MAX_FRAME_BYTES = 4 << 20;

	private final EventLoop loop;

	private final LongSupplier clockMs;

	private final LoopStalls stalls;

	private final Listener listener;

	PeerServer(EventLoop loop, LongSupplier clockMs, LoopStalls stalls, Listener listener) {
		this.loop = loop;
		this.clockMs = clockMs;
		this.stalls = stalls;
		this.listener = listener;
	}

	/**
	 * Starts to listen, later if the port can't be opened yet.
	 * @param ip the IP address to listen on
	 * @param port the port to listen on
	 * @return the port
	 * @throws InterruptedException if the thread is interrupted meanwhile
	 */
	ListeningPort listen(String ip, int port) throws InterruptedException {
		ServerBootstrap bootstrap = new ServerBootstrap().group(this.loop)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel channel) {
					channel.pipeline()
						.addLast(new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, PeerNetwork.LENGTH_BYTES, 0,
								PeerNetwork.LENGTH_BYTES), new Receiver());
				}
			});
		ListeningPort opened = new ListeningPort(this.loop, bootstrap, new InetSocketAddress(ip, port),
				ListeningPort.MAX_RETRY_MS);
		opened.open();
		return opened;
	}

	/**
	 * Is told of what arrives.
	 */
	interface Listener {

		/**
		 * Handles a message.
		 * @param receiver identifies the connection
		 * @param message the message
		 * @param bytes the size of its frame in bytes
		 */
		void received(Receiver receiver, PeerMessage message, int bytes);

		/**
		 * Handles a request to relay a connection, which carries no further messages.
		 * @param channel the connection, without handlers
		 * @param request the request
		 */
		void relay(Channel channel, PeerMessage.RelayRequest request);

		/**
		 * Handles the end of a connection.
		 * @param receiver identifies the connection
		 */
		void closed(Receiver receiver);

	}

	/**
	 * The receiving end of a connection.
	 */
	final class Receiver extends SimpleChannelInboundHandler<ByteBuf> {

		private Peer peer;

		private Channel channel;

		/**
		 * Returns the sender.
		 * @return the VM, or {@code null} before its greeting
		 */
		Peer peer() {
			return this.peer;
		}

		void peer(Peer newPeer) {
			this.peer = newPeer;
		}

		/** Closes the connection. */
		void close() {
			this.channel.close();
		}

		@Override
		public void channelActive(ChannelHandlerContext context) {
			this.channel = context.channel();
		}

		@Override
		protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) throws IOException {
			byte[] bytes = ByteBufUtil.getBytes(frame);
			// The times in a message count from when it was sent.
			PeerMessage message = PeerCodec.decode(bytes,
					PeerServer.this.clockMs.getAsLong() - PeerServer.this.stalls.unreadMs());
			if (this.peer == null && message instanceof PeerMessage.RelayRequest request) {
				relay(request);
				return;
			}
			PeerServer.this.listener.received(this, message, bytes.length);
		}

		private void relay(PeerMessage.RelayRequest request) {
			this.channel.pipeline().remove(this);
			this.channel.pipeline().remove(LengthFieldBasedFrameDecoder.class);
			PeerServer.this.listener.relay(this.channel, request);
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			PeerServer.this.listener.closed(this);
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			EventLog.state("peer_frame_refused").with("cause", cause).write();
			context.close();
		}

	}

}
