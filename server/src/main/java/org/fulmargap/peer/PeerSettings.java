package org.fulmargap.peer;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;

/**
 * Settings of the links between entry VMs.
 *
 * @param listenAddress the address to accept links at
 * @param peers the addresses of the other entry VMs; the own address is ignored
 * @param heartbeatEveryMs the time between two heartbeats on a link, in milliseconds
 * @param silenceLimitMs the time without a frame after which a link is closed, in
 * milliseconds
 * @param maxFrameBytes the largest frame body in bytes
 * @param maxQueuedBytes the most bytes that wait on one link; a link that exceeds them is
 * closed
 */
public record PeerSettings(InetSocketAddress listenAddress, List<InetSocketAddress> peers, long heartbeatEveryMs,
		long silenceLimitMs, int maxFrameBytes, int maxQueuedBytes) {

	/**
	 * Checks the components.
	 */
	public PeerSettings {
		Objects.requireNonNull(listenAddress, "listenAddress");
		peers = List.copyOf(peers);
		if (heartbeatEveryMs <= 0 || silenceLimitMs <= heartbeatEveryMs) {
			throw new IllegalArgumentException("silenceLimitMs must exceed heartbeatEveryMs");
		}
		if (maxFrameBytes <= 0 || maxQueuedBytes < maxFrameBytes) {
			throw new IllegalArgumentException("maxQueuedBytes must hold at least one frame");
		}
	}

	/**
	 * Creates settings with the limits that the design states.
	 * @param listenAddress the address to accept links at
	 * @param peers the addresses of the other entry VMs
	 * @return the settings
	 */
	public static PeerSettings withDefaults(InetSocketAddress listenAddress, List<InetSocketAddress> peers) {
		return new PeerSettings(listenAddress, peers, 500, 2_000, 1 << 20, 4 << 20);
	}

}
