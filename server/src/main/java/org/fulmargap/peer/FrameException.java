package org.fulmargap.peer;

import java.io.IOException;

/**
 * Reports a frame that violates the protocol. The link that carried it is closed.
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
