package org.fulmargap.server;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

import org.fulmargap.claim.ClaimKey;
import org.fulmargap.claim.RecordedOutcome;
import org.fulmargap.ledger.LogClaimService;
import org.fulmargap.ledger.LogConfigService;
import org.fulmargap.membership.AdminOrder;
import org.fulmargap.membership.AdminOrders;
import org.fulmargap.peer.OrderService;
import org.fulmargap.peer.PeerHandler;
import org.fulmargap.peer.PeerNetwork;
import org.fulmargap.routing.CrashQuarantine;
import org.fulmargap.routing.Router;

/**
 * Handles queries and state updates of peers with the services of this entry VM.
 *
 * @param lifecycle the lifecycle state of this entry VM
 * @param configService the configuration
 * @param claims the claims
 * @param orders the administrative orders
 * @param router holds the warm-up starts
 * @param quarantine holds the crash reports
 * @param inFlight returns the number of running requests
 * @param clock the source of the current time in milliseconds since the epoch
 */
record LocalPeerHandler(Lifecycle lifecycle, LogConfigService configService, LogClaimService claims,
		OrderService orders, Router router, CrashQuarantine quarantine, IntSupplier inFlight,
		LongSupplier clock) implements PeerHandler {

	@Override
	public LocalStatus status() {
		return new LocalStatus(this.lifecycle.isDraining(), this.configService.state().version(),
				this.inFlight.getAsInt(), this.router.warmUpStarts(), this.orders.current());
	}

	@Override
	public AdminOrders mergeOrders(Collection<AdminOrder> received) {
		return this.orders.merge(received, this.clock.getAsLong());
	}

	@Override
	public void mergeCrashReports(Map<String, List<String>> crashReports) {
		this.quarantine.mergeCrashReports(crashReports, this.clock.getAsLong());
	}

	@Override
	public void mergeWarmUpStarts(Map<String, Long> starts) {
		this.router.mergeWarmUpStarts(starts, this.clock.getAsLong());
	}

	@Override
	public PeerNetwork.KeyState abandonUndispatched(ClaimKey key) {
		return this.claims.answerKeyQuery(key);
	}

	@Override
	public CompletableFuture<Optional<RecordedOutcome>> outcome(ClaimKey key, long waitMs) {
		return this.claims.answerOutcomeQuery(key, waitMs);
	}

	@Override
	public Optional<ConfigCopy> config() {
		return this.configService.exportCopy()
			.map((copy) -> new ConfigCopy(this.configService.state().version(), copy));
	}

}
