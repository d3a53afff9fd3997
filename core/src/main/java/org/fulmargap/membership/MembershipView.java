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
 * View that one entry VM has of the members, with a failure detector based on heartbeats.
 * Instances are thread safe.
 */
public final class MembershipView {

	// How long a VM that left is listed after its last message. Its incarnation is kept,
	// so that messages of an older one are still rejected.
	private static final long LISTING_TIME_MS = 60_000;

	private final Hello self;

	private final MembershipLimits limits;

	private final long startedAtMs;

	private final Map<String, Peer> peers = new TreeMap<>();

	private Set<String> joined = Set.of();

	private boolean selfLeaving;

	private long selfConfigVersion;

	private int selfInFlight;

	private long lastOutsideContactMs;

	private long lastLogContactMs;

	private long lastCheckMs;

	/**
	 * Creates a view without any peers.
	 * @param self the identity of this entry VM
	 * @param limits the time limits
	 * @param nowMs the current time in milliseconds since the epoch
	 */
	public MembershipView(Hello self, MembershipLimits limits, long nowMs) {
		this.self = Objects.requireNonNull(self, "self");
		this.limits = Objects.requireNonNull(limits, "limits");
		this.startedAtMs = nowMs;
		this.lastOutsideContactMs = nowMs;
		this.lastLogContactMs = nowMs;
		this.lastCheckMs = nowMs;
	}

	/**
	 * Returns the identity of this entry VM.
	 * @return the first message of each link
	 */
	public Hello self() {
		return this.self;
	}

	/**
	 * Sets the members that the configuration stream lists.
	 * @param members the incarnation of each member by VM name
	 * @param nowMs the current time in milliseconds since the epoch
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
	 * Sets the members that the configuration stream lists, with their failure domains.
	 * Members whose incarnation cannot be parsed are ignored.
	 * @param members the members
	 * @param nowMs the current time in milliseconds since the epoch
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
	 * @param nowMs the current time in milliseconds since the epoch
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
		recordContact(peer, nowMs);
		return true;
	}

	/**
	 * Records a heartbeat.
	 * @param heartbeat the message
	 * @param nowMs the current time in milliseconds since the epoch
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
		peer.unresponsiveVms = Set.copyOf(heartbeat.silentVms());
		recordContact(peer, nowMs);
		return true;
	}

	/**
	 * Records a response of the log.
	 * @param nowMs the current time in milliseconds since the epoch
	 */
	public synchronized void recordLogContact(long nowMs) {
		this.lastLogContactMs = Math.max(this.lastLogContactMs, nowMs);
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
	 * Returns whether a VM is this one or has sent a message recently.
	 * @param vm the name of the VM
	 * @param nowMs the current time in milliseconds since the epoch
	 * @return {@code true} if the VM is considered alive
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
	 * Returns whether this VM is isolated: for the isolation time it has received no
	 * message from outside its failure domain and no response from the log.
	 * @param nowMs the current time in milliseconds since the epoch
	 * @return {@code true} if the VM is isolated
	 */
	public synchronized boolean isIsolated(long nowMs) {
		return nowMs - this.lastOutsideContactMs >= this.limits.isolatedAfterMs()
				&& nowMs - this.lastLogContactMs >= this.limits.isolatedAfterMs();
	}

	/**
	 * Returns the highest configuration version that an alive peer reported.
	 * @param nowMs the current time in milliseconds since the epoch
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
	 * Returns this VM and all peers that are members or have sent a message in the last
	 * minute, sorted by name.
	 * @param nowMs the current time in milliseconds since the epoch
	 * @return an immutable list
	 */
	public synchronized List<MemberStatus> members(long nowMs) {
		Map<String, MemberStatus> members = new TreeMap<>();
		members.put(this.self.vm(),
				new MemberStatus(this.self.incarnation(), this.self.failureDomain(), this.self.peerAddress(),
						this.joined.contains(this.self.vm()), true, this.selfLeaving, nowMs, this.selfConfigVersion,
						this.selfInFlight));
		this.peers.forEach((vm, peer) -> {
			if (this.joined.contains(vm) || nowMs - peer.lastContactMs < LISTING_TIME_MS) {
				members.put(vm,
						new MemberStatus(peer.incarnation, peer.failureDomain, peer.peerAddress,
								this.joined.contains(vm), isAlive(peer, nowMs), peer.leaving, peer.lastContactMs,
								peer.configVersion, peer.inFlight));
			}
		});
		return List.copyOf(members.values());
	}

	/**
	 * Returns the members from which this VM has received no message for the eviction
	 * time. Heartbeats carry their names, so that no VM evicts a member whose messages
	 * still reach another VM.
	 * @param nowMs the current time in milliseconds since the epoch
	 * @return names of VMs, sorted
	 */
	public synchronized List<String> unresponsiveMembers(long nowMs) {
		detectOwnPause(nowMs);
		List<String> unresponsive = new ArrayList<>();
		this.peers.forEach((vm, peer) -> {
			if (this.joined.contains(vm) && isUnresponsive(peer, nowMs)) {
				unresponsive.add(vm);
			}
		});
		return unresponsive;
	}

	/**
	 * Finds members to evict. A member is evicted if it is absent from the VM list, this
	 * VM and every alive peer have received no message from it for the eviction time, and
	 * another VM of its failure domain is alive. A failure domain without any alive VM is
	 * considered partitioned rather than failed, so its members are kept.
	 * @param listedVms the names in the platform's VM list
	 * @param listReadAtMs when the list was read, milliseconds since the epoch
	 * @param nowMs the current time in milliseconds since the epoch
	 * @return names of VMs, sorted; empty if the list is old or does not contain this VM
	 */
	public synchronized List<String> evictableMembers(Collection<String> listedVms, long listReadAtMs, long nowMs) {
		List<String> evictable = new ArrayList<>();
		Set<String> listed = new HashSet<>(listedVms);
		boolean listUsable = nowMs - listReadAtMs < this.limits.evictAfterMs() && listed.contains(this.self.vm());
		for (String vm : unresponsiveMembers(nowMs)) {
			Peer peer = this.peers.get(vm);
			if (listUsable && !listed.contains(vm) && isDomainAlive(vm, peer.failureDomain, nowMs)
					&& isUnresponsiveToAlivePeers(vm, nowMs)) {
				evictable.add(vm);
			}
		}
		return evictable;
	}

	private boolean isDomainAlive(String vm, String failureDomain, long nowMs) {
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
		// A VM without any alive peer may itself be partitioned. It therefore counts as
		// an alive VM of its own failure domain only while a peer other than the
		// candidate is alive or if there is no other member.
		return failureDomain.equals(this.self.failureDomain()) && (anyAlive || !anyOther);
	}

	private boolean isUnresponsiveToAlivePeers(String vm, long nowMs) {
		return this.peers.entrySet()
			.stream()
			.filter((entry) -> !entry.getKey().equals(vm) && isAlive(entry.getValue(), nowMs))
			.allMatch((entry) -> entry.getValue().unresponsiveVms.contains(vm));
	}

	// Restarts the eviction time of all peers after a pause of this process, during which
	// it could not receive messages. Otherwise the first message after the pause would
	// make the other members of the sender's failure domain evictable.
	private void detectOwnPause(long nowMs) {
		if (nowMs - this.lastCheckMs >= this.limits.aliveForMs()) {
			this.peers.values().forEach((peer) -> peer.unresponsiveSinceMs = nowMs);
		}
		this.lastCheckMs = Math.max(this.lastCheckMs, nowMs);
	}

	private void recordContact(Peer peer, long nowMs) {
		peer.lastContactMs = Math.max(peer.lastContactMs, nowMs);
		peer.unresponsiveSinceMs = Math.max(peer.unresponsiveSinceMs, nowMs);
		if (!peer.failureDomain.equals(this.self.failureDomain())) {
			this.lastOutsideContactMs = Math.max(this.lastOutsideContactMs, nowMs);
		}
	}

	private boolean isAlive(Peer peer, long nowMs) {
		return peer.lastContactMs > 0 && nowMs - peer.lastContactMs < this.limits.aliveForMs();
	}

	private boolean isUnresponsive(Peer peer, long nowMs) {
		return nowMs - Math.max(peer.unresponsiveSinceMs, this.startedAtMs) >= this.limits.evictAfterMs();
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

		private long unresponsiveSinceMs;

		private long configVersion;

		private int inFlight;

		private Set<String> unresponsiveVms = Set.of();

		private Peer(Incarnation incarnation, long nowMs) {
			restart(incarnation, nowMs);
		}

		private void restart(Incarnation newIncarnation, long nowMs) {
			this.incarnation = newIncarnation;
			this.leaving = false;
			this.lastContactMs = 0;
			this.unresponsiveSinceMs = nowMs;
			this.configVersion = 0;
			this.inFlight = 0;
			this.unresponsiveVms = Set.of();
		}

	}

}
