package org.fulmargap.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * One entry VM's view of the members and of its own connection to them. Safe for use by
 * several threads.
 */
public final class MembershipView {

	// A VM that left is listed this long after it was last heard. Its incarnation is
	// kept,
	// so that an older one cannot return.
	private static final long LIST_FOR_MS = 60_000;

	private final Hello self;

	private final MembershipLimits limits;

	private final long startedAtMs;

	private final Map<String, Peer> peers = new TreeMap<>();

	private Set<String> joined = Set.of();

	private boolean selfLeaving;

	private long selfConfigVersion;

	private int selfInFlight;

	private long lastOutsideMs;

	private long lastLogMs;

	private long lastCheckMs;

	/**
	 * Creates a view without peers.
	 * @param self the identity of this entry VM
	 * @param limits the time limits
	 * @param nowMs the present time in milliseconds since the epoch
	 */
	public MembershipView(Hello self, MembershipLimits limits, long nowMs) {
		this.self = Objects.requireNonNull(self, "self");
		this.limits = Objects.requireNonNull(limits, "limits");
		this.startedAtMs = nowMs;
		this.lastOutsideMs = nowMs;
		this.lastLogMs = nowMs;
		this.lastCheckMs = nowMs;
	}

	/**
	 * Returns the identity of this entry VM.
	 * @return the message that opens each link
	 */
	public Hello self() {
		return this.self;
	}

	/**
	 * Takes over the members that the configuration stream lists.
	 * @param members the incarnation of each member by VM name
	 * @param nowMs the present time in milliseconds since the epoch
	 */
	public synchronized void setJoined(Map<String, Incarnation> members, long nowMs) {
		this.joined = Set.copyOf(members.keySet());
		for (Incarnation incarnation : members.values()) {
			if (!isSelf(incarnation.vm())) {
				Peer peer = this.peers.computeIfAbsent(incarnation.vm(), (vm) -> new Peer(incarnation, nowMs));
				if (peer.incarnation.isOlderThan(incarnation)) {
					peer.restart(incarnation, nowMs);
				}
			}
		}
	}

	/**
	 * Takes over the members that the configuration stream lists, with their failure
	 * domains. Members whose incarnation has an unknown form are ignored.
	 * @param members the members
	 * @param nowMs the present time in milliseconds since the epoch
	 */
	public synchronized void setJoined(Collection<org.fulmargap.config.Member> members, long nowMs) {
		Map<String, Incarnation> incarnations = new TreeMap<>();
		for (org.fulmargap.config.Member member : members) {
			Incarnation.tryParse(member.incarnation())
				.filter((incarnation) -> incarnation.vm().equals(member.vm()))
				.ifPresent((incarnation) -> incarnations.put(member.vm(), incarnation));
		}
		setJoined(incarnations, nowMs);
		for (org.fulmargap.config.Member member : members) {
			Peer peer = this.peers.get(member.vm());
			if (peer != null && peer.failureDomain.isEmpty()) {
				peer.failureDomain = member.failureDomain();
			}
		}
	}

	/**
	 * Records the first message of a link.
	 * @param hello the message
	 * @param nowMs the present time in milliseconds since the epoch
	 * @return {@code false} if the sender is an older incarnation than the known one, or
	 * uses the name of this VM; the message then has no effect
	 */
	public synchronized boolean receiveHello(Hello hello, long nowMs) {
		if (isSelf(hello.vm())) {
			return false;
		}
		Peer peer = this.peers.computeIfAbsent(hello.vm(), (vm) -> new Peer(hello.incarnation(), nowMs));
		if (hello.incarnation().isOlderThan(peer.incarnation)) {
			return false;
		}
		if (peer.incarnation.isOlderThan(hello.incarnation())) {
			peer.restart(hello.incarnation(), nowMs);
		}
		peer.failureDomain = hello.failureDomain();
		peer.peerAddress = hello.peerAddress();
		heard(peer, nowMs);
		return true;
	}

	/**
	 * Records a heartbeat.
	 * @param heartbeat the message
	 * @param nowMs the present time in milliseconds since the epoch
	 * @return {@code false} if the sender is not the known incarnation of its VM; the
	 * message then has no effect
	 */
	public synchronized boolean receiveHeartbeat(Heartbeat heartbeat, long nowMs) {
		Peer peer = this.peers.get(heartbeat.incarnation().vm());
		if (peer == null || !peer.incarnation.equals(heartbeat.incarnation())) {
			return false;
		}
		peer.leaving = heartbeat.leaving();
		peer.configVersion = heartbeat.configVersion();
		peer.inFlight = heartbeat.inFlight();
		peer.silentVms = Set.copyOf(heartbeat.silentVms());
		heard(peer, nowMs);
		return true;
	}

	/**
	 * Records that the log answered.
	 * @param nowMs the present time in milliseconds since the epoch
	 */
	public synchronized void recordLogContact(long nowMs) {
		this.lastLogMs = Math.max(this.lastLogMs, nowMs);
	}

	/**
	 * Records that this entry VM is shutting down.
	 */
	public synchronized void markLeaving() {
		this.selfLeaving = true;
	}

	/**
	 * Records the state of this entry VM that its heartbeats carry.
	 * @param leaving whether this entry VM is shutting down
	 * @param configVersion the configuration version in force
	 * @param inFlight the number of running requests
	 */
	public synchronized void updateSelfStatus(boolean leaving, long configVersion, int inFlight) {
		this.selfLeaving |= leaving;
		this.selfConfigVersion = configVersion;
		this.selfInFlight = inFlight;
	}

	/**
	 * Tells whether a VM is this one or was heard recently.
	 * @param vm the name of the VM
	 * @param nowMs the present time in milliseconds since the epoch
	 * @return {@code true} if the VM counts as alive
	 */
	public synchronized boolean isAlive(String vm, long nowMs) {
		Peer peer = this.peers.get(vm);
		return isSelf(vm) || peer != null && isAlive(peer, nowMs);
	}

	/**
	 * Returns the latest known incarnation of a VM.
	 * @param vm the name of the VM
	 * @return the incarnation, or empty for an unknown VM
	 */
	public synchronized Optional<Incarnation> incarnation(String vm) {
		return isSelf(vm) ? Optional.of(this.self.incarnation())
				: Optional.ofNullable(this.peers.get(vm)).map((peer) -> peer.incarnation);
	}

	/**
	 * Tells whether this VM is cut off: for the isolation time it has heard nothing from
	 * outside its failure domain, and the log has not answered.
	 * @param nowMs the present time in milliseconds since the epoch
	 * @return {@code true} if the VM is isolated
	 */
	public synchronized boolean isIsolated(long nowMs) {
		return nowMs - this.lastOutsideMs >= this.limits.isolatedAfterMs()
				&& nowMs - this.lastLogMs >= this.limits.isolatedAfterMs();
	}

	/**
	 * Returns the highest configuration version that a living peer reported.
	 * @param nowMs the present time in milliseconds since the epoch
	 * @return the version, zero if no peer is alive
	 */
	public synchronized long highestPeerVersion(long nowMs) {
		return this.peers.values()
			.stream()
			.filter((peer) -> isAlive(peer, nowMs))
			.mapToLong((peer) -> peer.configVersion)
			.max()
			.orElse(0);
	}

	/**
	 * Returns this VM and all peers that joined or were heard in the last minute, sorted
	 * by name.
	 * @param nowMs the present time in milliseconds since the epoch
	 * @return an immutable list
	 */
	public synchronized List<MemberStatus> members(long nowMs) {
		Map<String, MemberStatus> members = new TreeMap<>();
		members.put(this.self.vm(),
				new MemberStatus(this.self.incarnation(), this.self.failureDomain(), this.self.peerAddress(),
						this.joined.contains(this.self.vm()), true, this.selfLeaving, nowMs, this.selfConfigVersion,
						this.selfInFlight));
		this.peers.forEach((vm, peer) -> {
			if (this.joined.contains(vm) || nowMs - peer.lastContactMs < LIST_FOR_MS) {
				members.put(vm,
						new MemberStatus(peer.incarnation, peer.failureDomain, peer.peerAddress,
								this.joined.contains(vm), isAlive(peer, nowMs), peer.leaving, peer.lastContactMs,
								peer.configVersion, peer.inFlight));
			}
		});
		return List.copyOf(members.values());
	}

	/**
	 * Returns the members that this VM has not heard for the eviction time. Heartbeats
	 * carry them, so that no VM evicts a member that another one still hears.
	 * @param nowMs the present time in milliseconds since the epoch
	 * @return names of VMs, sorted
	 */
	public synchronized List<String> unresponsiveMembers(long nowMs) {
		noticeOwnPause(nowMs);
		List<String> silent = new ArrayList<>();
		this.peers.forEach((vm, peer) -> {
			if (this.joined.contains(vm) && isSilent(peer, nowMs)) {
				silent.add(vm);
			}
		});
		return silent;
	}

	/**
	 * Finds members to evict. A member is evicted if it is absent from the VM list, has
	 * been silent for the eviction time to this VM and to every living peer, and another
	 * VM of its failure domain is heard. A failure domain that is silent as a whole is
	 * cut off, not dead, and keeps its members.
	 * @param listedVms the names in the platform's VM list
	 * @param listReadAtMs when the list was read, milliseconds since the epoch
	 * @param nowMs the present time in milliseconds since the epoch
	 * @return names of VMs, sorted; empty if the list is old or does not contain this VM
	 */
	public synchronized List<String> evictableMembers(Collection<String> listedVms, long listReadAtMs, long nowMs) {
		List<String> evictable = new ArrayList<>();
		Set<String> listed = new HashSet<>(listedVms);
		boolean listUsable = nowMs - listReadAtMs < this.limits.evictAfterMs() && listed.contains(this.self.vm());
		for (String vm : unresponsiveMembers(nowMs)) {
			Peer peer = this.peers.get(vm);
			if (listUsable && !listed.contains(vm) && isDomainHeard(vm, peer.failureDomain, nowMs)
					&& isSilentToLivingPeers(vm, nowMs)) {
				evictable.add(vm);
			}
		}
		return evictable;
	}

	private boolean isDomainHeard(String vm, String failureDomain, long nowMs) {
		boolean anyOther = false;
		boolean anyAlive = false;
		for (Map.Entry<String, Peer> entry : this.peers.entrySet()) {
			boolean other = !entry.getKey().equals(vm);
			boolean alive = other && isAlive(entry.getValue(), nowMs);
			if (alive && entry.getValue().failureDomain.equals(failureDomain)) {
				return true;
			}
			anyAlive |= alive;
			anyOther |= other && this.joined.contains(entry.getKey());
		}
		// A VM that hears nobody may be the one that is cut off, so it vouches for its
		// own
		// failure domain only while it hears somebody or when nobody else is left to
		// hear.
		return failureDomain.equals(this.self.failureDomain()) && (anyAlive || !anyOther);
	}

	private boolean isSilentToLivingPeers(String vm, long nowMs) {
		return this.peers.entrySet()
			.stream()
			.filter((entry) -> !entry.getKey().equals(vm) && isAlive(entry.getValue(), nowMs))
			.allMatch((entry) -> entry.getValue().silentVms.contains(vm));
	}

	// Restarts the silence of all peers after a pause of this process: while it was
	// paused
	// it could hear nobody, and the first peer heard after the pause would otherwise make
	// the rest of its failure domain evictable.
	private void noticeOwnPause(long nowMs) {
		if (nowMs - this.lastCheckMs >= this.limits.aliveForMs()) {
			this.peers.values().forEach((peer) -> peer.silentSinceMs = nowMs);
		}
		this.lastCheckMs = Math.max(this.lastCheckMs, nowMs);
	}

	private void heard(Peer peer, long nowMs) {
		peer.lastContactMs = Math.max(peer.lastContactMs, nowMs);
		peer.silentSinceMs = Math.max(peer.silentSinceMs, nowMs);
		if (!peer.failureDomain.equals(this.self.failureDomain())) {
			this.lastOutsideMs = Math.max(this.lastOutsideMs, nowMs);
		}
	}

	private boolean isAlive(Peer peer, long nowMs) {
		return peer.lastContactMs > 0 && nowMs - peer.lastContactMs < this.limits.aliveForMs();
	}

	private boolean isSilent(Peer peer, long nowMs) {
		return nowMs - Math.max(peer.silentSinceMs, this.startedAtMs) >= this.limits.evictAfterMs();
	}

	private boolean isSelf(String vm) {
		return vm.equals(this.self.vm());
	}

	private static final class Peer {

		private Incarnation incarnation;

		private String failureDomain = "";

		private String peerAddress = "";

		private boolean leaving;

		private long lastContactMs;

		private long silentSinceMs;

		private long configVersion;

		private int inFlight;

		private Set<String> silentVms = Set.of();

		private Peer(Incarnation incarnation, long nowMs) {
			restart(incarnation, nowMs);
		}

		private void restart(Incarnation newIncarnation, long nowMs) {
			this.incarnation = newIncarnation;
			this.leaving = false;
			this.lastContactMs = 0;
			this.silentSinceMs = nowMs;
			this.configVersion = 0;
			this.inFlight = 0;
			this.silentVms = Set.of();
		}

	}

}
