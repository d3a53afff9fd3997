package org.fulmargap.entry.peer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;

/**
 * The output of an endpoint as it arrives through another VM. Handlers behind this one
 * see the end of the input only if the endpoint has ended its output; if the connection
 * to the other VM ends before, it is closed.
 */
class RelayedOutput extends ChannelInboundHandlerAdapter {

	/**
	 * Adds the handlers for an open connection.
	 * @param channel the connection to the other VM
	 * @param outcome how the other VM passes the output on
	 */
	static void add(Channel channel, RelayOutcome outcome) {
		if (outcome == RelayOutcome.OPEN_WITH_FRAMES) {
			channel.pipeline().addLast(RelayFrames.decoder(), new Framed());
		}
		else {
			channel.pipeline().addLast(new RelayedOutput());
		}
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext context, Object event) {
		if (event instanceof ChannelInputShutdownEvent) {
			context.close();
		}
		else {
			context.fireUserEventTriggered(event);
		}
	}

	/**
	 * Output in frames.
	 */
	private static final class Framed extends RelayedOutput {

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			ByteBuf content = (ByteBuf) message;
			if (content.isReadable()) {
				context.fireChannelRead(content);
				return;
			}
			content.release();
			context.fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
		}

	}

}
