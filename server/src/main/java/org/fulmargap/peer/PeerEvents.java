package org.fulmargap.peer;

/**
 * Receives events of the links. Called on the I/O thread, so that implementations must
 * not block.
 */
@FunctionalInterface
public interface PeerEvents {

	/**
	 * Records an event.
	 * @param type the type of the event
	 * @param peer the VM name of the peer, or its address while the name is unknown; the
	 * name of this entry VM if a heartbeat cannot be encoded
	 * @param detail a description for operators
	 */
	void record(PeerEventType type, String peer, String detail);

}
