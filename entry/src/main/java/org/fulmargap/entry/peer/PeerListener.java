package org.fulmargap.entry.peer;

import java.util.List;
import java.util.Map;

/**
 * Hears the other entry VMs.
 */
public interface PeerListener {

	/**
	 * Hears a message.
	 * @param peer the name of the sender
	 * @param message the message
	 */
	void received(String peer, PeerMessage message);

	/**
	 * Hears that a peer is no longer heard, doesn't hear this VM or has started anew.
	 * @param peer the name of the peer
	 */
	void peerLost(String peer);

	/**
	 * Returns what this VM has in flight, for heartbeats.
	 * @return the loads
	 */
	List<PeerMessage.Load> loads();

	/**
	 * Returns the work items that this VM's requests still need, for heartbeats.
	 * @return the work items by rank, by service
	 */
	Map<String, int[]> admittedItems();

	/**
	 * Returns the endpoints that work, of the services that this VM makes calls to, for
	 * heartbeats.
	 * @return the number of endpoints of usual speed, by service
	 */
	Map<String, Double> availableEndpoints();

	/**
	 * Returns how far this VM knows each topic of the store, for heartbeats.
	 * @return the offsets in the order of the topics
	 */
	List<Long> nextOffsets();

}
