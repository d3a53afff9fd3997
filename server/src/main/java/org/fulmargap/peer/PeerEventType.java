package org.fulmargap.peer;

/**
 * Events on the links between entry VMs.
 */
public enum PeerEventType {

	/** A link is in use. */
	LINK_UP(false),

	/** A connection attempt failed; repeated failures are not reported again. */
	CONNECT_FAILED(false),

	/** The connection was closed or reset by the other side. */
	LINK_LOST(false),

	/** No frame arrived within the silence limit. */
	LINK_SILENT(false),

	/** A second connection to the same peer was closed. */
	DUPLICATE_LINK(false),

	/** The peer reads too slowly, and too many bytes wait. */
	QUEUE_FULL(false),

	/** More connections were opened than peers can need. */
	TOO_MANY_LINKS(false),

	/** More queries arrived than the handler threads can answer. */
	HANDLER_OVERLOADED(false),

	/** A message of this entry VM cannot be encoded within the frame bound. */
	MESSAGE_NOT_ENCODED(false),

	/** A frame cannot be decoded. */
	BROKEN_FRAME(true),

	/** The length of a frame exceeds the bound. */
	OVERSIZE_FRAME(true),

	/** A frame has a type that this version does not know. */
	UNKNOWN_TYPE(true),

	/** The peer speaks another protocol version. */
	WRONG_VERSION(true),

	/** A message arrived that is not allowed at this point. */
	UNEXPECTED_MESSAGE(true),

	/** The peer is an older incarnation of its VM. */
	STALE_INCARNATION(true),

	/** The peer uses the name of this entry VM. */
	OWN_VM_NAME(true);

	private final boolean protocolFault;

	PeerEventType(boolean protocolFault) {
		this.protocolFault = protocolFault;
	}

	/**
	 * Tells whether the other side violated the protocol.
	 * @return {@code true} for faults that operators should look into
	 */
	public boolean isProtocolFault() {
		return this.protocolFault;
	}

}
