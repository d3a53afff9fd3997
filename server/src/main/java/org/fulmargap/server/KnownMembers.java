package org.fulmargap.server;

import java.util.Collection;
import java.util.TreeSet;
import java.util.function.LongSupplier;

import org.fulmargap.ledger.ClaimMembers;
import org.fulmargap.membership.Member;
import org.fulmargap.membership.MembershipView;

/**
 * Names the members of the configuration stream and the entry VMs heard as peers. A VM
 * that joined while this one cannot read the log is known as a peer only, and it may have
 * run a request.
 */
final class KnownMembers implements ClaimMembers {

	private final ClaimMembers joined;

	private final MembershipView heard;

	private final LongSupplier clock;

	KnownMembers(ClaimMembers joined, MembershipView heard, LongSupplier clock) {
		this.joined = joined;
		this.heard = heard;
		this.clock = clock;
	}

	@Override
	public Collection<String> vms() {
		Collection<String> vms = new TreeSet<>(this.joined.vms());
		if (!vms.isEmpty()) {
			this.heard.members(this.clock.getAsLong()).stream().map(Member::vm).forEach(vms::add);
		}
		return vms;
	}

	@Override
	public long lastRemovalAtMs() {
		return this.joined.lastRemovalAtMs();
	}

}
