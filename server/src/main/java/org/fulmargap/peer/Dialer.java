package org.fulmargap.peer;

import java.net.InetSocketAddress;

/**
 * State of the connection attempts to one configured address, with exponential backoff.
 * Used by the I/O thread only.
 */
final class Dialer {

	private static final long INITIAL_BACKOFF_MS = 100;

	// Bounds the time after which a peer that is reachable again is dialed.
	private static final long MAX_BACKOFF_MS = 1_000;

	// How often an address is checked that is not dialed because its peer keeps a link to
	// this VM. Each check scans all links.
	private static final long POSTPONE_MS = 200;

	private final InetSocketAddress address;

	private final String addressText;

	private PeerLink link;

	private long nextAttemptMs;

	private long backoffMs = INITIAL_BACKOFF_MS;

	private long failures;

	Dialer(InetSocketAddress address) {
		this.address = address;
		this.addressText = PeerAddresses.format(address);
	}

	InetSocketAddress address() {
		return this.address;
	}

	String addressText() {
		return this.addressText;
	}

	PeerLink link() {
		return this.link;
	}

	boolean isDue(long nowMs) {
		boolean clockSetBack = this.nextAttemptMs - nowMs > MAX_BACKOFF_MS;
		return this.link == null && (nowMs >= this.nextAttemptMs || clockSetBack);
	}

	void started(PeerLink newLink) {
		this.link = newLink;
	}

	void postpone(long nowMs) {
		this.nextAttemptMs = nowMs + POSTPONE_MS;
	}

	void established() {
		this.backoffMs = INITIAL_BACKOFF_MS;
	}

	/**
	 * Schedules the next attempt after a connection was closed or an attempt failed.
	 * @param wasEstablished whether the handshake of the link had completed
	 * @param nowMs the current time in milliseconds since the epoch
	 * @return {@code true} if this is the first failure since a link was established
	 */
	boolean ended(boolean wasEstablished, long nowMs) {
		boolean first = wasEstablished || this.backoffMs == INITIAL_BACKOFF_MS;
		this.link = null;
		this.failures++;
		this.nextAttemptMs = nowMs + this.backoffMs;
		this.backoffMs = Math.min(MAX_BACKOFF_MS, this.backoffMs * 2);
		return first;
	}

	/**
	 * Returns the number of failed attempts and closed connections.
	 * @return a number that never decreases
	 */
	long failures() {
		return this.failures;
	}

}
