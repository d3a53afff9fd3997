package org.fulmargap.entry.peer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;

/**
 * The frames in which a VM passes the output of an endpoint on to another one: the number
 * of bytes in four bytes, and the bytes. A frame without bytes says that the endpoint has
 * ended its output. A connection that ends without it was broken.
 */
final class RelayFrames {

	private static final int LENGTH_BYTES = 4;

	/** More than is read from a connection at once, in bytes. */
	private static final int MAX_BYTES = 1 << 20;

	private RelayFrames() {
	}

	/**
	 * Returns what precedes the bytes of a frame.
	 * @param bytes the number of bytes
	 * @return the header
	 */
	static ByteBuf header(int bytes) {
		return Unpooled.buffer(LENGTH_BYTES).writeInt(bytes);
	}

	/**
	 * Returns the frame that ends the output.
	 * @return the frame
	 */
	static ByteBuf end() {
		return header(0);
	}

	/**
	 * Returns a handler that splits what was received into the contents of the frames.
	 * @return the handler
	 */
	static ChannelHandler decoder() {
		return new LengthFieldBasedFrameDecoder(LENGTH_BYTES + MAX_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
	}

}
