package org.fulmargap.entry.peer;

import java.util.List;
import java.util.Map;

/**
 * Handles the messages of other entry VMs and supplies the content of heartbeats. Called
 * on the event loop.
 */
public interface PeerListener {

	/**
	 * Handles a message.
	 * @param peer the name of the sender
	 * @param message the message
	 */
	void received(String peer, PeerMessage message);

	/**
	 * Handles the loss of a peer: it is silent, its connection closed, it receives
	 * nothing from this VM, it restarted or it left. May be called several times for one
	 * loss.
	 * @param peer the name of the peer
	 */
	void peerLost(String peer);

	/**
	 * Returns the load that this VM puts on endpoints, for heartbeats.
	 * @return the loads of the endpoints with requests in flight
	 */
	List<PeerMessage.Load> loads();

	/**
	 * Returns the work items that this VM's requests still need, for heartbeats.
	 * @return the numbers of work items by rank, by service
	 */
	Map<String, int[]> admittedItems();

	/**
	 * Returns the available endpoints of the services that this VM coordinates, for
	 * heartbeats.
	 * @return the number of endpoints of usual speed, by service
	 */
	Map<String, Double> availableEndpoints();

	/**
	 * Returns the next offset of each topic of the store, for heartbeats.
	 * @return the offsets in the order of the topics; -1 for a topic that was not read
	 */
	List<Long> nextOffsets();

}
