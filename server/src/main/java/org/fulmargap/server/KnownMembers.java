package org.fulmargap.server;

import java.util.Collection;
import java.util.TreeSet;
import java.util.function.LongSupplier;

import org.fulmargap.ledger.MemberDirectory;
import org.fulmargap.membership.MemberStatus;
import org.fulmargap.membership.MembershipView;

/**
 * Names the members of the configuration stream and the entry VMs heard as peers. A VM
 * that joined while this one cannot read the log is known as a peer only, and it may have
 * run a request.
 */
final class KnownMembers implements MemberDirectory {

	private final MemberDirectory joined;

	private final MembershipView heard;

	private final LongSupplier clock;

	KnownMembers(MemberDirectory joined, MembershipView heard, LongSupplier clock) {
		this.joined = joined;
		this.heard = heard;
		this.clock = clock;
	}

	@Override
	public Collection<String> vms() {
		Collection<String> vms = new TreeSet<>(this.joined.vms());
		if (!vms.isEmpty()) {
			this.heard.members(this.clock.getAsLong()).stream().map(MemberStatus::vm).forEach(vms::add);
		}
		return vms;
	}

	@Override
	public long lastRemovalAtMs() {
		return this.joined.lastRemovalAtMs();
	}

}
