package org.fulmargap.entry.peer;

import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * The answer of a VM that was asked for a connection to an endpoint: a frame with the
 * position of the constant, so the order must not change.
 */
enum RelayOutcome {

	/** The connection to the endpoint is open. */
	OPEN,

	/** The endpoint accepts no connection, though the VM reaches other endpoints. */
	NOT_CONNECTED,

	/**
	 * The VM reaches no endpoint itself, knows no endpoint at the address, or has too
	 * many connections.
	 */
	UNAVAILABLE;

	ByteBuf toFrame() {
		return Unpooled.buffer(PeerNetwork.LENGTH_BYTES + 1).writeInt(1).writeByte(ordinal());
	}

	static Optional<RelayOutcome> read(ByteBuf content) {
		int ordinal = (content.readableBytes() == 1) ? content.readByte() : -1;
		return (ordinal >= 0 && ordinal < values().length) ? Optional.of(values()[ordinal]) : Optional.empty();
	}

}
