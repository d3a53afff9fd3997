package org.fulmargap.server;

import java.util.Collection;
import java.util.TreeSet;
import java.util.function.LongSupplier;

import org.fulmargap.ledger.MemberDirectory;
import org.fulmargap.membership.MemberStatus;
import org.fulmargap.membership.MembershipView;

/**
 * Directory of the members that the configuration stream lists and of the entry VMs known
 * as peers. A VM that joined while this one cannot read the log is known only as a peer,
 * but may have run a request.
 */
final class KnownMembers implements MemberDirectory {

	private final MemberDirectory joined;

	private final MembershipView view;

	private final LongSupplier clock;

	KnownMembers(MemberDirectory joined, MembershipView view, LongSupplier clock) {
		this.joined = joined;
		this.view = view;
		this.clock = clock;
	}

	@Override
	public Collection<String> vms() {
		Collection<String> vms = new TreeSet<>(this.joined.vms());
		if (!vms.isEmpty()) {
			this.view.members(this.clock.getAsLong()).stream().map(MemberStatus::vm).forEach(vms::add);
		}
		return vms;
	}

	@Override
	public long lastRemovalAtMs() {
		return this.joined.lastRemovalAtMs();
	}

}
