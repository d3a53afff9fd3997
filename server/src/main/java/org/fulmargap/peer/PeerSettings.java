package org.fulmargap.peer;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;

/**
 * Settings of the connections between entry VMs.
 *
 * @param listenAddress the address to accept links at
 * @param peers the addresses of the other entry VMs; {@code listenAddress} is ignored
 * @param heartbeatIntervalMs the time between two heartbeats on a link, in milliseconds
 * @param receiveTimeoutMs the time without a complete frame after which a link is closed,
 * in milliseconds
 * @param maxFrameBytes the largest frame body in bytes
 * @param maxQueuedBytes the largest number of bytes queued for sending on one link; a
 * link that would exceed it is closed
 */
public record PeerSettings(InetSocketAddress listenAddress, List<InetSocketAddress> peers, long heartbeatIntervalMs,
		long receiveTimeoutMs, int maxFrameBytes, int maxQueuedBytes) {

	/**
	 * Checks the components.
	 */
	public PeerSettings {
		Objects.requireNonNull(listenAddress, "listenAddress");
		peers = List.copyOf(peers);
		if (heartbeatIntervalMs <= 0 || receiveTimeoutMs <= heartbeatIntervalMs) {
			throw new IllegalArgumentException("receiveTimeoutMs must exceed heartbeatIntervalMs");
		}
		if (maxFrameBytes <= 0 || maxQueuedBytes < maxFrameBytes) {
			throw new IllegalArgumentException("maxQueuedBytes must hold at least one frame");
		}
	}

	/**
	 * Creates settings with the default limits: a heartbeat every 500 ms, a receive
	 * timeout of 2 s, frames of at most 1 MiB and 4 MiB of queued bytes per link.
	 * @param listenAddress the address to accept links at
	 * @param peers the addresses of the other entry VMs
	 * @return the settings
	 */
	public static PeerSettings withDefaults(InetSocketAddress listenAddress, List<InetSocketAddress> peers) {
		return new PeerSettings(listenAddress, peers, 500, 2_000, 1 << 20, 4 << 20);
	}

}
