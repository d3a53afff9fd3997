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
 * Joins the other entry VMs and leaves them.
 *
 * @param view this entry VM's view of the members
 * @param network the links to peers
 * @param handler answers peers
 * @param config the configuration
 * @param claims the claims
 * @param maintenance connects these parts
 * @param clock the source of the present time in milliseconds since the epoch
 */
record Membership(MembershipView view, TcpPeerNetwork network, PeerHandler handler, LogConfigService config,
		LogClaimService claims, MaintenanceTasks maintenance, LongSupplier clock) implements AutoCloseable {

	/** The longest wait for the log at a shutdown; it may be down. */
	private static final long LOG_WAIT_MS = 3_000;

	private static final long POLL_NANOS = 10_000_000;

	void start() throws IOException {
		this.network.start(this.handler);
		this.maintenance.start();
		this.config.start();
		this.claims.start();
	}

	/**
	 * Tells peers that this entry VM is shutting down.
	 */
	void announceLeave() {
		this.view.markLeaving();
		this.network.sendHeartbeats();
	}

	/**
	 * Writes what still waits for the log, then ends the membership.
	 */
	void leave() {
		await(this.claims::isFlushed);
		this.config.leave();
		await(() -> !this.config.isMember());
	}

	private void await(BooleanSupplier condition) {
		long endMs = this.clock.getAsLong() + LOG_WAIT_MS;
		while (!condition.getAsBoolean() && this.clock.getAsLong() < endMs) {
			LockSupport.parkNanos(POLL_NANOS);
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
