package org.fulmargap.peer;

import java.net.InetSocketAddress;

/**
 * State of the connection attempts to one configured address. Used by the I/O thread
 * only.
 */
final class Dialer {

	private static final long FIRST_DELAY_MS = 100;

	// At most this long after a peer is back, a link to it is attempted.
	private static final long LONGEST_DELAY_MS = 1_000;

	// A link that the peer keeps is looked for this often; the check passes over all
	// links.
	private static final long CHECK_EVERY_MS = 200;

	private final InetSocketAddress address;

	private final String text;

	private PeerLink link;

	private long nextAttemptMs;

	private long delayMs = FIRST_DELAY_MS;

	private long failures;

	Dialer(InetSocketAddress address) {
		this.address = address;
		this.text = PeerAddresses.format(address);
	}

	InetSocketAddress address() {
		return this.address;
	}

	String text() {
		return this.text;
	}

	PeerLink link() {
		return this.link;
	}

	boolean isDue(long nowMs) {
		boolean clockSetBack = this.nextAttemptMs - nowMs > LONGEST_DELAY_MS;
		return this.link == null && (nowMs >= this.nextAttemptMs || clockSetBack);
	}

	void started(PeerLink newLink) {
		this.link = newLink;
	}

	void postpone(long nowMs) {
		this.nextAttemptMs = nowMs + CHECK_EVERY_MS;
	}

	void established() {
		this.delayMs = FIRST_DELAY_MS;
	}

	/**
	 * Schedules the next attempt after a connection or an attempt ended.
	 * @param wasEstablished whether the link had been in use
	 * @param nowMs the present time in milliseconds since the epoch
	 * @return {@code true} if this is the first failure since the link was in use
	 */
	boolean ended(boolean wasEstablished, long nowMs) {
		boolean first = wasEstablished || this.delayMs == FIRST_DELAY_MS;
		this.link = null;
		this.failures++;
		this.nextAttemptMs = nowMs + this.delayMs;
		this.delayMs = Math.min(LONGEST_DELAY_MS, this.delayMs * 2);
		return first;
	}

	/**
	 * Returns how often attempts and connections have ended.
	 * @return a number that only rises
	 */
	long failures() {
		return this.failures;
	}

}
