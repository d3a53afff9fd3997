package org.fulmargap.entry.peer;

import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * The answer of a VM that was asked for a connection to an endpoint: a frame with the
 * position of the constant, so the order must not change.
 */
enum RelayOutcome {

	/**
	 * The connection to the endpoint is open, and its output follows as it is. The end of
	 * the connection does not tell whether the endpoint has ended its output.
	 */
	OPEN,

	/** The endpoint accepts no connection, though the VM reaches other endpoints. */
	NOT_CONNECTED,

	/**
	 * The VM reaches no endpoint itself, knows no endpoint at the address, or has too
	 * many connections.
	 */
	UNAVAILABLE,

	/**
	 * The connection to the endpoint is open, and its output follows in the frames of
	 * {@link RelayFrames}.
	 */
	OPEN_WITH_FRAMES;

	boolean isOpen() {
		return this == OPEN || this == OPEN_WITH_FRAMES;
	}

	ByteBuf toFrame() {
		return Unpooled.buffer(PeerNetwork.LENGTH_BYTES + 1).writeInt(1).writeByte(ordinal());
	}

	static Optional<RelayOutcome> read(ByteBuf content) {
		int ordinal = (content.readableBytes() == 1) ? content.readByte() : -1;
		return (ordinal >= 0 && ordinal < values().length) ? Optional.of(values()[ordinal]) : Optional.empty();
	}

}
