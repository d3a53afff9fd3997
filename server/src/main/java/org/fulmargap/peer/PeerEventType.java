package org.fulmargap.peer;

/**
 * Events on the links between entry VMs.
 */
public enum PeerEventType {

	/** The handshake of a link completed. */
	LINK_UP(false),

	/** A connection attempt failed; further failures in a row are not reported. */
	CONNECT_FAILED(false),

	/** The connection was closed or reset by the peer, or failed. */
	LINK_LOST(false),

	/** No complete frame arrived within the receive timeout. */
	LINK_SILENT(false),

	/** A second connection to the same peer was closed. */
	DUPLICATE_LINK(false),

	/** The peer reads too slowly, so that too many bytes are queued. */
	QUEUE_FULL(false),

	/** The limit of open connections is reached; a new one was closed. */
	TOO_MANY_LINKS(false),

	/** The queue of the handler threads is full; a message was dropped. */
	HANDLER_OVERLOADED(false),

	/** A message of this entry VM cannot be encoded within the frame size limit. */
	MESSAGE_NOT_ENCODED(false),

	/** A frame cannot be decoded. */
	BROKEN_FRAME(true),

	/** The length of a frame is zero or exceeds the limit. */
	OVERSIZE_FRAME(true),

	/** A frame has an unknown message type. */
	UNKNOWN_TYPE(true),

	/** The peer uses another protocol version. */
	WRONG_VERSION(true),

	/** A message is not allowed in the current state of the link. */
	UNEXPECTED_MESSAGE(true),

	/** A message or link belongs to an incarnation that is not the current one. */
	STALE_INCARNATION(true),

	/** The peer uses the name of this entry VM. */
	OWN_VM_NAME(true);

	private final boolean protocolFault;

	PeerEventType(boolean protocolFault) {
		this.protocolFault = protocolFault;
	}

	/**
	 * Returns whether the peer violated the protocol.
	 * @return {@code true} for faults that operators should investigate
	 */
	public boolean isProtocolFault() {
		return this.protocolFault;
	}

}
