package org.fulmargap.server;

import org.fulmargap.http.ServiceGate;
import org.fulmargap.membership.MembershipView;
import org.fulmargap.request.FailureType;
import org.fulmargap.request.FulmargapException;
import org.fulmargap.routing.CrashQuarantine;

/**
 * Refuses all requests when the notice time of a shutdown has passed, and while this
 * entry VM is isolated if the policy is {@link IsolatedPolicy#STOP}. Refuses quarantined
 * requests at any time.
 */
final class RequestGate implements ServiceGate {

	private final Lifecycle lifecycle;

	private final CrashQuarantine quarantine;

	private final MembershipView membership;

	private final IsolatedPolicy isolatedPolicy;

	RequestGate(Lifecycle lifecycle, CrashQuarantine quarantine, MembershipView membership,
			IsolatedPolicy isolatedPolicy) {
		this.lifecycle = lifecycle;
		this.quarantine = quarantine;
		this.membership = membership;
		this.isolatedPolicy = isolatedPolicy;
	}

	@Override
	public void check(String fingerprint, long nowMs) throws FulmargapException {
		if (this.lifecycle.refusesRequests(nowMs)) {
			throw new FulmargapException(FailureType.NOT_RUN, "DRAINING", "the entry VM is shutting down");
		}
		if (this.isolatedPolicy.refusesRequests() && this.membership.isIsolated(nowMs)) {
			throw new FulmargapException(FailureType.NOT_RUN, "ISOLATED",
					"the entry VM cannot reach any other failure domain or the log");
		}
		if (!this.quarantine.verdict(fingerprint, nowMs).mayRun()) {
			throw new FulmargapException(FailureType.REQUEST_QUARANTINED, "REQUEST_QUARANTINED",
					"this request crashed several endpoints and is refused until its quarantine expires");
		}
	}

	@Override
	public boolean ownDomainOnly(long nowMs) {
		return this.membership.isIsolated(nowMs);
	}

}
