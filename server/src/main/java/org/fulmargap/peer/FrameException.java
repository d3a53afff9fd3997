package org.fulmargap.peer;

import java.io.IOException;

/**
 * Thrown for a frame that cannot be encoded, decoded or queued, or that violates the
 * protocol.
 */
class FrameException extends IOException {

	private static final long serialVersionUID = 1L;

	private final PeerEventType type;

	FrameException(PeerEventType type, String message) {
		this(type, message, null);
	}

	FrameException(PeerEventType type, String message, Throwable cause) {
		super(message, cause);
		this.type = type;
	}

	PeerEventType type() {
		return this.type;
	}

}
