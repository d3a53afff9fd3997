package org.fulmargap.entry;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Answers the platform's readiness probes with status 200 or 503, and requests for
 * {@code /metrics} with the metrics.
 */
final class ReadinessServer {

	private static final int MAX_BODY_BYTES = 4_096;

	private final EventLoop loop;

	private final BooleanSupplier ready;

	private final EntryMetrics metrics;

	ReadinessServer(EventLoop loop, BooleanSupplier ready, EntryMetrics metrics) {
		this.loop = loop;
		this.ready = ready;
		this.metrics = metrics;
	}

	/**
	 * Starts to listen, later if the port can't be opened yet.
	 * @param ip the IP address to listen on
	 * @param port the port to listen on
	 * @param maxRetryMs the longest time between two tries in milliseconds
	 * @return the port
	 * @throws InterruptedException if the thread is interrupted meanwhile
	 */
	ListeningPort listen(String ip, int port, long maxRetryMs) throws InterruptedException {
		ServerBootstrap bootstrap = new ServerBootstrap().group(this.loop)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childHandler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel channel) {
					channel.pipeline()
						.addLast(new HttpServerCodec(), new HttpObjectAggregator(MAX_BODY_BYTES), new Handler());
				}
			});
		ListeningPort opened = new ListeningPort(this.loop, bootstrap, new InetSocketAddress(ip, port), maxRetryMs);
		opened.open();
		return opened;
	}

	private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {

		@Override
		protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
			boolean isMetrics = request.uri().startsWith("/metrics");
			boolean ok = isMetrics || ReadinessServer.this.ready.getAsBoolean();
			String text = (isMetrics) ? ReadinessServer.this.metrics.text() : "";
			DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
					(ok) ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
					Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
			response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
			boolean keepAlive = HttpUtil.isKeepAlive(request);
			var written = context.writeAndFlush(response);
			if (!keepAlive) {
				written.addListener(ChannelFutureListener.CLOSE);
			}
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			context.close();
		}

	}

}
