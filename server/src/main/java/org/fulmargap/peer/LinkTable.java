package org.fulmargap.peer;

import java.util.ArrayList;
import java.util.List;

import org.fulmargap.membership.Hello;

/**
 * Table of the open links and of the addresses to connect to. Used by the I/O thread
 * only.
 */
final class LinkTable {

	private final Hello self;

	private final List<PeerLink> links = new ArrayList<>();

	private final List<Dialer> dialers = new ArrayList<>();

	LinkTable(PeerSettings settings, Hello self) {
		this.self = self;
		settings.peers()
			.stream()
			.distinct()
			.filter((peer) -> !peer.equals(settings.listenAddress()))
			.forEach((peer) -> this.dialers.add(new Dialer(peer)));
	}

	List<Dialer> dialers() {
		return this.dialers;
	}

	/**
	 * Returns the open links.
	 * @return a copy, so that links may be closed while the list is iterated
	 */
	List<PeerLink> all() {
		return List.copyOf(this.links);
	}

	/**
	 * Returns the links whose handshake has completed.
	 * @return a copy of the list
	 */
	List<PeerLink> established() {
		return this.links.stream().filter(PeerLink::isEstablished).toList();
	}

	int size() {
		return this.links.size();
	}

	void add(PeerLink link) {
		this.links.add(link);
	}

	void remove(PeerLink link) {
		this.links.remove(link);
	}

	boolean hasLink(Hello remote) {
		return this.links.stream()
			.anyMatch((link) -> link.isEstablished() && link.remote().incarnation().equals(remote.incarnation()));
	}

	// Of two VMs, the one with the lower name keeps the link that it dialed, and the
	// other VM does not dial. One link per pair halves the number of heartbeats.
	boolean hasLinkFromPeer(Dialer dialer) {
		return this.links.stream()
			.anyMatch((link) -> isKeptByPeer(link) && dialer.addressText().equals(link.remote().peerAddress()));
	}

	private boolean isKeptByPeer(PeerLink link) {
		return link.isEstablished() && !link.isDialed() && link.remote().vm().compareTo(this.self.vm()) < 0;
	}

	/**
	 * Returns whether a dialed link is a duplicate of one that the peer dialed and keeps.
	 * @param dialed the link
	 * @return {@code true} if the link may be closed
	 */
	boolean isDuplicate(PeerLink dialed) {
		return dialed.isEstablished() && dialed.isDialed() && this.links.stream()
			.anyMatch(
					(link) -> isKeptByPeer(link) && link.remote().incarnation().equals(dialed.remote().incarnation()));
	}

}
