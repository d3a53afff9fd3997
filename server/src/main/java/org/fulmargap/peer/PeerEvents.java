package org.fulmargap.peer;

/**
 * Receives events of the links. Called on the I/O thread; must not block.
 */
@FunctionalInterface
public interface PeerEvents {

	/**
	 * Records an event.
	 * @param type what happened
	 * @param peer the VM name of the peer, or its address as long as the name is unknown
	 * @param detail a text for people
	 */
	void record(PeerEventType type, String peer, String detail);

}
