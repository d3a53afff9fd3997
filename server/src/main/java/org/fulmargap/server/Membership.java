package org.fulmargap.server;

import java.io.IOException;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

import org.fulmargap.ledger.LogClaimService;
import org.fulmargap.ledger.LogConfigService;
import org.fulmargap.membership.MembershipView;
import org.fulmargap.peer.PeerHandler;
import org.fulmargap.peer.TcpPeerNetwork;

/**
 * Starts and ends the membership of this entry VM.
 *
 * @param view this entry VM's view of the members
 * @param network the links to peers
 * @param handler handles queries and state updates of peers
 * @param config the configuration
 * @param claims the claims
 * @param maintenance the periodic tasks of these components
 * @param clock the source of the current time in milliseconds since the epoch
 */
record Membership(MembershipView view, TcpPeerNetwork network, PeerHandler handler, LogConfigService config,
		LogClaimService claims, MaintenanceTasks maintenance, LongSupplier clock) implements AutoCloseable {

	/**
	 * Limits each wait for the log during a shutdown, because the log may be down.
	 */
	private static final long LOG_WAIT_MS = 3_000;

	private static final long POLL_INTERVAL_NANOS = 10_000_000;

	void start() throws IOException {
		this.network.start(this.handler);
		this.maintenance.start();
		this.config.start();
		this.claims.start();
	}

	/**
	 * Announces to the peers that this entry VM is shutting down.
	 */
	void announceLeave() {
		this.view.markLeaving();
		this.network.sendHeartbeats();
	}

	/**
	 * Waits until the queued claim records are in the log, then appends the record that
	 * ends the membership and waits until it is applied.
	 */
	void leave() {
		await(this.claims::isFlushed);
		this.config.leave();
		await(() -> !this.config.isMember());
	}

	private void await(BooleanSupplier condition) {
		long endMs = this.clock.getAsLong() + LOG_WAIT_MS;
		while (!condition.getAsBoolean() && this.clock.getAsLong() < endMs) {
			LockSupport.parkNanos(POLL_INTERVAL_NANOS);
		}
	}

	@Override
	public void close() {
		this.maintenance.close();
		this.claims.close();
		this.config.close();
		this.network.close();
	}

}
