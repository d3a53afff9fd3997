package org.fulmargap.entry.peer;

import java.util.List;
import java.util.Set;

import org.fulmargap.fleet.LoadReport;
import org.fulmargap.fleet.StorePosition;

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
	 * Handles a new load report, which replaces the last one of its sender.
	 * @param peer the name of the sender
	 * @param report the report; {@link LoadReport#NONE} if the sender reports no longer
	 */
	void reported(String peer, LoadReport report);

	/**
	 * Handles the loss of a peer: it is silent, its connection closed, it receives
	 * nothing from this VM, it restarted or it left. May be called several times for one
	 * loss.
	 * @param peer the name of the peer
	 */
	void peerLost(String peer);

	/**
	 * Handles the regular choice of hubs, whether it changed or not.
	 * @param nowMs the current time in milliseconds
	 */
	void hubsChosen(long nowMs);

	/**
	 * Returns the load that this VM puts on endpoints, for heartbeats.
	 * @return the load
	 */
	LoadReport ownReport();

	/**
	 * Returns up to where each topic of the store is known, for heartbeats.
	 * @return the positions in the order of the topics
	 */
	List<StorePosition> positions();

	/**
	 * Returns whether this VM reads the store itself, without failures.
	 * @return {@code true} if its last reads succeeded
	 */
	boolean isStoreReached();

	/**
	 * Returns the VMs that have work of this VM.
	 * @return their names
	 */
	Set<String> awaitedPeers();

}
