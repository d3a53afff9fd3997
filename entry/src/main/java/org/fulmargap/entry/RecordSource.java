package org.fulmargap.entry;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Decides whether a VM reads the records of the store itself or gets them from a hub.
 * Updated by the event loop; the threads that read the store ask for the result.
 */
final class RecordSource {

	/**
	 * How long a VM that is no hub waits for one to relay records before it reads them
	 * itself, in milliseconds: enough to find a new hub.
	 */
	private static final long RELAY_GRACE_MS = 1_000;

	private static final long NEVER_MS = Long.MIN_VALUE / 2;

	// Peers whose records belong to an earlier history of the store than those of this
	// VM. What they relay is refused.
	private final Set<String> outdatedPeers = new HashSet<>();

	private volatile boolean hub = true;

	private volatile boolean store = true;

	private long relayedAtMs = NEVER_MS;

	// The hub that relayed records last.
	private String relayingHub = "";

	private String name = PageOrigin.STORE;

	private long sinceMs;

	/**
	 * Creates a source that is the store.
	 * @param nowMs the current time in milliseconds
	 */
	RecordSource(long nowMs) {
		this.sinceMs = nowMs;
	}

	/**
	 * Records how the records of a peer compare with those of this VM.
	 * @param peer the name of the peer
	 * @param outdated whether they belong to an earlier history of the store
	 */
	void peerCompared(String peer, boolean outdated) {
		if (outdated) {
			this.outdatedPeers.add(peer);
		}
		else {
			this.outdatedPeers.remove(peer);
		}
	}

	/**
	 * Chooses the source. Called with each heartbeat.
	 * @param isHub whether this VM is a hub
	 * @param newRelayingHub the hub that relays records to this VM, if one does
	 * @param nowMs the current time in milliseconds
	 */
	void update(boolean isHub, Optional<String> newRelayingHub, long nowMs) {
		this.hub = isHub;
		newRelayingHub.filter((vm) -> !this.outdatedPeers.contains(vm)).ifPresent((vm) -> {
			this.relayingHub = vm;
			this.relayedAtMs = nowMs;
		});
		this.store = isHub || nowMs - this.relayedAtMs >= RELAY_GRACE_MS;
		changeTo((this.store) ? PageOrigin.STORE : this.relayingHub, nowMs);
	}

	private void changeTo(String newName, long nowMs) {
		if (newName.equals(this.name)) {
			return;
		}
		EventLog.state("store_source")
			.with("source", newName)
			.with("previous", this.name)
			.with("previous_ms", nowMs - this.sinceMs)
			.write();
		this.name = newName;
		this.sinceMs = nowMs;
	}

	/**
	 * Returns whether this VM is a hub.
	 * @return {@code true} if it relays records to others
	 */
	boolean isHub() {
		return this.hub;
	}

	/**
	 * Returns whether this VM reads the store itself.
	 * @return {@code false} if a hub relays the records
	 */
	boolean isStore() {
		return this.store;
	}

}
