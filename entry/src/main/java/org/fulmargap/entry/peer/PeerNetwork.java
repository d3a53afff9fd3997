package org.fulmargap.entry.peer;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import org.fulmargap.entry.EntryMetrics;
import org.fulmargap.entry.EventLog;
import org.fulmargap.entry.ListeningPort;
import org.fulmargap.entry.LoopStalls;
import org.fulmargap.fleet.FleetMember;
import org.fulmargap.fleet.FleetView;
import org.fulmargap.fleet.Hubs;
import org.fulmargap.fleet.LoadReport;
import org.fulmargap.fleet.LoadReports;
import org.fulmargap.fleet.StorePosition;
import org.fulmargap.placement.FleetPosition;

/**
 * The messages between entry VMs. Hubs exchange heartbeats with all other hubs, the other
 * VMs with one hub; all further messages go directly to the VM that they are for. Each VM
 * sends only on connections that it opened and reads only from those that it accepted.
 * Confined to its event loop.
 */
public final class PeerNetwork {

	/** The number of bytes that state the length of a frame. */
	static final int LENGTH_BYTES = 4;

	/** The interval of heartbeats, in milliseconds. */
	private static final long HEARTBEAT_MS = 250;

	/** A peer counts as lost after this time without an expected message, in ms. */
	private static final long LOST_AFTER_MS = 900;

	/**
	 * A peer that has work of this VM and exchanges no heartbeats with it is pinged after
	 * this time without a message, in milliseconds.
	 */
	private static final long PING_AFTER_MS = 500;

	/**
	 * Messages may be missing if a heartbeat, of a peer or of this VM, is late by this
	 * time after the last one, in milliseconds: two in a row are.
	 */
	private static final long LATE_AFTER_MS = 600;

	private final FleetView fleet;

	private final long startedAtMs;

	private final EventLoop loop;

	private final LongSupplier clockMs;

	private final LoopStalls stalls;

	private final EntryMetrics metrics;

	private final Map<String, Peer> peers = new TreeMap<>();

	private final LoadReports reports = new LoadReports();

	private final EventRelay events = new EventRelay();

	private PeerListener listener;

	// Null if this VM does not relay.
	private RelayServer relays;

	private ListeningPort port;

	private Hubs hubs;

	private String ownHub;

	private boolean draining;

	private long lastTickAtMs;

	// When messages of peers may have been missed last.
	private long missedAtMs;

	/**
	 * Creates a network without peers.
	 * @param own this VM
	 * @param startedAtMs when this process started, in milliseconds since the epoch
	 * @param loop the event loop
	 * @param clockMs the current time in milliseconds
	 * @param stalls the stalls of the event loop
	 * @param metrics counts messages and bytes
	 */
	public PeerNetwork(FleetMember own, long startedAtMs, EventLoop loop, LongSupplier clockMs, LoopStalls stalls,
			EntryMetrics metrics) {
		this.fleet = new FleetView(own);
		this.startedAtMs = startedAtMs;
		this.loop = loop;
		this.clockMs = clockMs;
		this.stalls = stalls;
		this.metrics = metrics;
		this.hubs = this.fleet.hubs(clockMs.getAsLong());
		this.lastTickAtMs = clockMs.getAsLong();
		this.missedAtMs = this.lastTickAtMs;
	}

	/**
	 * Makes this VM relay connections of other VMs to endpoints.
	 * @param newRelays opens the connections to endpoints
	 */
	public void relays(RelayServer newRelays) {
		this.relays = newRelays;
	}

	/**
	 * Returns the number of connections of other VMs that this one relays.
	 * @return the number
	 */
	public int relayCount() {
		return (this.relays != null) ? this.relays.count() : 0;
	}

	/**
	 * Starts to listen and to send heartbeats.
	 * @param ip the IP address to listen on
	 * @param port the port to listen on
	 * @param newListener handles messages and supplies the content of heartbeats
	 * @throws InterruptedException if the thread is interrupted meanwhile
	 */
	public void start(String ip, int port, PeerListener newListener) throws InterruptedException {
		this.listener = newListener;
		this.port = new PeerServer(this.loop, this.clockMs, this.stalls, new Inbox()).listen(ip, port);
		this.loop.scheduleWithFixedDelay(this::safeTick, HEARTBEAT_MS, HEARTBEAT_MS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Returns whether other VMs can connect.
	 * @return {@code true} if the port is open
	 */
	public boolean isListening() {
		return this.port.isOpen();
	}

	/**
	 * Adds a VM or updates its address. This VM itself is ignored.
	 * @param member the VM
	 */
	public void updatePeer(FleetMember member) {
		this.fleet.put(member, this.clockMs.getAsLong());
		Peer known = this.peers.get(member.name());
		if (known != null) {
			known.link().address(member.address());
		}
	}

	/**
	 * Removes a VM that has left and closes the connection to it.
	 * @param vm the name of the VM
	 */
	public void removePeer(String vm) {
		this.fleet.remove(vm);
		Peer peer = this.peers.remove(vm);
		if (peer != null) {
			peer.link().close();
			lose(peer, "left");
		}
	}

	/**
	 * Reports to the peers that this VM is shutting down; others take over what it does
	 * for them.
	 */
	public void drain() {
		this.draining = true;
		this.fleet.drain();
		tick();
	}

	/**
	 * Returns the name of this VM.
	 * @return the name
	 */
	public String ownName() {
		return this.fleet.own().name();
	}

	/**
	 * Returns the failure domain of this VM.
	 * @return its name
	 */
	String ownDomain() {
		return this.fleet.own().failureDomain();
	}

	/**
	 * Returns the other VMs that are alive, reachable from here and not shutting down.
	 * @return the VMs
	 */
	List<FleetMember> reachable() {
		return this.fleet.reachable(this.clockMs.getAsLong());
	}

	static InetSocketAddress socketAddress(String address) {
		int colon = address.lastIndexOf(':');
		return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
	}

	/**
	 * Returns the number of entry VMs over which shared limits are divided: this one,
	 * those that were alive in the last 20 s, and those that were not heard of yet.
	 * @return the number
	 */
	public int vmCount() {
		return this.fleet.count(this.clockMs.getAsLong());
	}

	/**
	 * Returns the number of entry VMs that were alive in the last heartbeats.
	 * @return the number, this VM included
	 */
	public int aliveCount() {
		return 1 + this.fleet.confirmed(this.clockMs.getAsLong()).size();
	}

	/**
	 * Returns when this VM may have missed messages last: before its start, while it was
	 * out of touch with another VM that may be alive, or while it stood still.
	 * @param nowMs the current time in milliseconds
	 * @return the time in milliseconds; the current one if it may miss some now
	 */
	public long missedAtMs(long nowMs) {
		if (isLate(nowMs) || this.fleet.isOutOfTouch(nowMs)
				|| this.peers.values().stream().anyMatch((peer) -> isLate(peer, nowMs))) {
			this.missedAtMs = nowMs;
		}
		return this.missedAtMs;
	}

	private boolean isLate(long nowMs) {
		return nowMs - this.lastTickAtMs > LATE_AFTER_MS;
	}

	private boolean isLate(Peer peer, long nowMs) {
		return peer.isAlive() && peer.sendsHeartbeats() && !peer.isDraining() && peer.silentMs(nowMs) > LATE_AFTER_MS;
	}

	/**
	 * Returns the share of this VM in the rate that an endpoint takes from all entry VMs
	 * together.
	 * @param endpoint the name of the endpoint
	 * @param limitPerSecond the rate in requests per second
	 * @param nowMs the current time in milliseconds
	 * @return the share in requests per second; 0 if other VMs have all shares
	 */
	public double limitShare(String endpoint, double limitPerSecond, long nowMs) {
		return this.fleet.limitShare(endpoint, limitPerSecond, nowMs);
	}

	/**
	 * Returns the position of this VM among those that share an endpoint.
	 * @param endpoint the name of the endpoint
	 * @param nowMs the current time in milliseconds
	 * @return the position
	 */
	public FleetPosition position(String endpoint, long nowMs) {
		return this.fleet.position(endpoint, nowMs);
	}

	/**
	 * Returns the coordinator of a service, as seen by this VM.
	 * @param service the name of the service
	 * @return the name of the coordinator
	 */
	public String coordinatorOf(String service) {
		return this.fleet.coordinatorOf(service, this.clockMs.getAsLong());
	}

	/**
	 * Returns whether this VM may be cut off from another failure domain.
	 * @param domain the name of the failure domain
	 * @return {@code true} if VMs are known there, but none is alive and reachable
	 */
	public boolean isCutOffFrom(String domain) {
		return this.fleet.isCutOffFrom(domain, this.clockMs.getAsLong());
	}

	/**
	 * Returns whether this VM is a hub, which reads the store for others.
	 * @return {@code true} if it is one
	 */
	public boolean isHub() {
		return this.ownHub == null;
	}

	/**
	 * Returns whether the hub of this VM relays the records of the store.
	 * @return {@code true} if it sends heartbeats and gets the newest records
	 */
	public boolean isStoreRelayed() {
		return relayingHub().isPresent();
	}

	/**
	 * Returns the hub that relays the records of the store to this VM.
	 * @return the name of the hub, or empty if none does
	 */
	public Optional<String> relayingHub() {
		return Optional.ofNullable(this.ownHub)
			.map(this.peers::get)
			.filter((hub) -> hub.relation() == PeerRelation.MEMBER && hub.isStoreReached())
			.map(Peer::name);
	}

	/**
	 * Sends a message to a VM.
	 * @param vm the name of the VM
	 * @param message the message
	 * @return {@code false} if it was dropped because the VM is unknown or not reachable,
	 * or too many bytes are unsent; {@code true} does not mean that it was received
	 */
	public boolean send(String vm, PeerMessage message) {
		Peer peer = this.peers.get(vm);
		if (peer == null && this.fleet.find(vm).isPresent()) {
			peer = peer(vm, this.fleet.find(vm).get().address());
		}
		return peer != null && send(peer, message);
	}

	private boolean send(Peer peer, PeerMessage message) {
		byte[] frame = PeerCodec.encode(message, this.clockMs.getAsLong());
		boolean sent = peer.link().send(frame);
		if (sent) {
			this.metrics.count("peer_sent");
			this.metrics.add("peer_sent_bytes", frame.length);
		}
		return sent;
	}

	/**
	 * Sends a message to the VMs that rely on this one.
	 * @param message the message
	 */
	public void sendToMembers(PeerMessage message) {
		this.peers.values().stream().filter(Peer::isMember).forEach((member) -> send(member, message));
	}

	/**
	 * Sends a message to the VMs with which this one exchanges heartbeats.
	 * @param message the message
	 */
	public void sendToNeighbours(PeerMessage message) {
		Set<String> targets = heartbeatTargets();
		for (Peer peer : List.copyOf(this.peers.values())) {
			if (peer.isMember() || targets.contains(peer.name())) {
				send(peer, message);
			}
		}
	}

	/**
	 * Tells all VMs of an event: at once if this VM exchanges heartbeats with all of
	 * them, else with the next heartbeats.
	 * @param event a message about the event
	 */
	public void announce(PeerMessage event) {
		if (!isHub() || hasMembers()) {
			this.events.add(ownName(), event);
			return;
		}
		for (String hub : this.hubs.names()) {
			if (!hub.equals(ownName())) {
				send(hub, event);
			}
		}
	}

	private boolean hasMembers() {
		return this.peers.values().stream().anyMatch(Peer::isMember);
	}

	private Peer peer(String name, String address) {
		Peer known = this.peers.get(name);
		if (known == null) {
			LinkListener linkListener = new LinkListener();
			known = new Peer(name, new PeerLink(this.loop, linkListener));
			linkListener.peer = known;
			known.link().address(address);
			this.peers.put(name, known);
		}
		return known;
	}

	private void safeTick() {
		try {
			tick();
		}
		catch (RuntimeException ex) {
			// An exception would end the heartbeats of this VM for good.
			EventLog.state("heartbeat_failed").with("cause", ex).write();
		}
	}

	private void tick() {
		long nowMs = this.clockMs.getAsLong();
		boolean paused = nowMs - this.lastTickAtMs > LOST_AFTER_MS;
		missedAtMs(nowMs);
		this.lastTickAtMs = nowMs;
		this.fleet.expire();
		// After a pause of this process, messages that have arrived are read first.
		if (!paused) {
			List.copyOf(this.peers.values()).forEach((peer) -> checkSilence(peer, nowMs));
		}
		chooseHub(nowMs);
		this.listener.hubsChosen(nowMs);
		updateExpectations(nowMs);
		dropReports();
		sendHeartbeats(nowMs);
		this.events.clear();
	}

	private void chooseHub(long nowMs) {
		this.hubs = this.fleet.hubs(nowMs);
		boolean isHub = this.hubs.names().contains(ownName());
		String chosen = (isHub) ? null : this.hubs.hubOf(this.fleet.own()).map(FleetMember::name).orElse(null);
		if (!Objects.equals(chosen, this.ownHub)) {
			EventLog.state("hub_chosen")
				.with("hub", (chosen != null) ? chosen : ownName())
				.with("hubs", this.hubs.names().size())
				.with("vms", this.fleet.count(nowMs))
				.write();
		}
		this.ownHub = chosen;
	}

	private Set<String> heartbeatTargets() {
		return (isHub()) ? this.hubs.names() : Set.of(this.ownHub);
	}

	private void updateExpectations(long nowMs) {
		Set<String> awaited = this.listener.awaitedPeers();
		Set<String> targets = heartbeatTargets();
		for (String target : targets) {
			this.fleet.find(target).ifPresent((member) -> peer(target, member.address()));
		}
		for (Peer peer : this.peers.values()) {
			boolean exchanges = targets.contains(peer.name()) || peer.sendsHeartbeats();
			peer.expect(exchanges || awaited.contains(peer.name()), nowMs);
			if (peer.isExpected() && !exchanges && peer.silentMs(nowMs) > PING_AFTER_MS) {
				send(peer, new PeerMessage.Ping(false, peer.isAlive()));
			}
		}
	}

	private void checkSilence(Peer peer, long nowMs) {
		boolean exchanges = heartbeatTargets().contains(peer.name()) || peer.sendsHeartbeats();
		long limitMs = (exchanges) ? LOST_AFTER_MS : PING_AFTER_MS + LOST_AFTER_MS;
		if (peer.isExpected() && peer.silentMs(nowMs) > limitMs) {
			lose(peer, "silent");
			peer.link().reopen();
			peer.expect(false, nowMs);
		}
		else if (!peer.isExpected() && peer.isAlive() && !this.fleet.isAlive(peer.name(), nowMs)) {
			// No other VM has heard of it; whether it can be reached from here is not
			// known.
			lose(peer, "expired");
			this.fleet.reachable(peer.name(), true);
		}
	}

	// Deletes the reports of peers that no longer report to this VM, whose load now
	// arrives on another way.
	private void dropReports() {
		for (String vm : this.reports.vms()) {
			Peer peer = this.peers.get(vm);
			if (peer == null || !reportsTo(peer)) {
				dropReport(vm);
			}
		}
	}

	private void dropReport(String vm) {
		if (this.reports.remove(vm)) {
			this.listener.reported(vm, LoadReport.NONE);
		}
	}

	private boolean reportsTo(Peer peer) {
		return peer.isMember() || (peer.isOtherHub() && isHub())
				|| (peer.relation() == PeerRelation.MEMBER && peer.name().equals(this.ownHub));
	}

	private void sendHeartbeats(long nowMs) {
		List<String> members = this.peers.values().stream().filter(Peer::isMember).map(Peer::name).toList();
		OwnState own = new OwnState(this.listener.ownReport(), this.listener.positions(),
				this.listener.isStoreReached());
		Set<String> targets = heartbeatTargets();
		for (Peer peer : List.copyOf(this.peers.values())) {
			if (peer.isMember()) {
				sendToMember(peer, own, nowMs);
			}
			else if (targets.contains(peer.name()) || peer.relation() == PeerRelation.OTHER_HUB) {
				sendToHub(peer, relationTo(peer, targets), own, members, nowMs);
			}
			else if (peer.replaceExchanging(false)) {
				send(peer, new PeerMessage.Heartbeat(PeerRelation.NONE, this.draining, true, own.storeReached(),
						LoadReport.NONE, own.positions()));
			}
		}
	}

	private void sendToMember(Peer member, OwnState own, long nowMs) {
		Collection<String> others = without(this.reports.vms(), member.name());
		boolean storeReached = own.storeReached()
				|| this.peers.values().stream().anyMatch((peer) -> reportsTo(peer) && peer.isStoreReached());
		PeerMessage.Heartbeat heartbeat = new PeerMessage.Heartbeat(PeerRelation.MEMBER, this.draining, true,
				storeReached, this.reports.sum(own.report(), others, nowMs), own.positions());
		send(member, heartbeat, this.fleet.confirmed(nowMs), without(this.peers.keySet(), member.name()));
	}

	private void sendToHub(Peer hub, PeerRelation relation, OwnState own, List<String> members, long nowMs) {
		PeerMessage.Heartbeat heartbeat = new PeerMessage.Heartbeat(relation, this.draining, hub.isAlive(),
				own.storeReached(), this.reports.sum(own.report(), members, nowMs), own.positions());
		send(hub, heartbeat, stateOf(members), members);
	}

	private PeerRelation relationTo(Peer peer, Set<String> targets) {
		if (!targets.contains(peer.name())) {
			return PeerRelation.HUB_ANSWER;
		}
		return (isHub()) ? PeerRelation.OTHER_HUB : PeerRelation.OWN_HUB;
	}

	private static List<String> without(Collection<String> names, String excluded) {
		return names.stream().filter((name) -> !name.equals(excluded)).toList();
	}

	private List<FleetView.VmState> stateOf(List<String> members) {
		List<FleetView.VmState> states = new ArrayList<>();
		for (String name : members) {
			Peer member = this.peers.get(name);
			states.add(new FleetView.VmState(name, member.isDraining()));
			states.addAll(member.liveVms());
		}
		return states;
	}

	// Events of this VM go to all, those of peers only to VMs that don't get them on
	// another way.
	private void send(Peer peer, PeerMessage.Heartbeat heartbeat, List<FleetView.VmState> vms,
			Collection<String> eventSources) {
		peer.replaceExchanging(true);
		List<PeerMessage> messages = new ArrayList<>();
		if (peer.replaceSentVms(vms)) {
			messages.add(new PeerMessage.LiveVms(vms));
		}
		messages.addAll(this.events.of((source) -> source.equals(ownName()) || eventSources.contains(source)));
		messages.add(heartbeat);
		send(peer, (messages.size() == 1) ? heartbeat : new PeerMessage.Batch(messages));
	}

	private void lose(Peer peer, String reason) {
		if (peer.isAlive()) {
			EventLog.state("peer_lost")
				.with("peer", peer.name())
				.with("reason", reason)
				.with("silent_ms", peer.silentMs(this.clockMs.getAsLong()))
				.write();
			this.missedAtMs = (peer.isDraining()) ? this.missedAtMs : this.clockMs.getAsLong();
		}
		peer.lost();
		this.fleet.reachable(peer.name(), false);
		dropReport(peer.name());
		this.listener.peerLost(peer.name());
	}

	private void heard(Peer peer, long nowMs) {
		if (peer.heard(nowMs)) {
			EventLog.state("peer_heard").with("peer", peer.name()).write();
			this.missedAtMs = nowMs;
		}
		this.fleet.reachable(peer.name(), true);
		this.fleet.confirm(peer.name(), peer.isDraining(), nowMs);
	}

	private void receive(Peer peer, PeerMessage message, long nowMs) {
		if (message instanceof PeerMessage.Batch batch) {
			batch.messages().forEach((part) -> receive(peer, part, nowMs));
		}
		else if (message instanceof PeerMessage.LiveVms live) {
			peer.liveVms(live.vms());
		}
		else if (message instanceof PeerMessage.Heartbeat heartbeat) {
			receiveHeartbeat(peer, heartbeat, nowMs);
		}
		else if (message instanceof PeerMessage.Ping ping) {
			reopenIfDeaf(peer, ping.receiving(), nowMs);
			if (!ping.answer()) {
				send(peer, new PeerMessage.Ping(true, true));
			}
		}
		else {
			if (isEvent(message) && (!isHub() || hasMembers())) {
				this.events.add(peer.name(), message);
			}
			this.listener.received(peer.name(), message);
		}
	}

	private static boolean isEvent(PeerMessage message) {
		return message instanceof PeerMessage.PromptSent || message instanceof PeerMessage.CrashReport
				|| message instanceof PeerMessage.PromptPartCrash || message instanceof PeerMessage.PromptPartsAnswered
				|| message instanceof PeerMessage.StreamBegun;
	}

	private void receiveHeartbeat(Peer peer, PeerMessage.Heartbeat heartbeat, long nowMs) {
		if (peer.reported(heartbeat)) {
			EventLog.state("peer_draining").with("peer", peer.name()).write();
		}
		this.fleet.confirm(peer.name(), peer.isDraining(), nowMs);
		for (FleetView.VmState vm : peer.liveVms()) {
			Peer direct = this.peers.get(vm.name());
			boolean heardDirectly = direct != null && direct.isAlive() && direct.sendsHeartbeats();
			if (!heardDirectly) {
				this.fleet.confirm(vm.name(), vm.draining(), nowMs);
			}
		}
		reopenIfDeaf(peer, heartbeat.receiving(), nowMs);
		if (reportsTo(peer)) {
			this.reports.put(peer.name(), heartbeat.report(), nowMs);
			this.listener.reported(peer.name(), heartbeat.report());
		}
		this.listener.received(peer.name(), heartbeat);
	}

	// The other end gets nothing on this VM's connection, though it may look open here.
	private void reopenIfDeaf(Peer peer, boolean receiving, long nowMs) {
		if (!receiving && peer.link().isConnected() && peer.connectedMs(nowMs) > LOST_AFTER_MS) {
			lose(peer, "deaf");
			peer.link().reopen();
		}
	}

	/**
	 * What this VM reports of itself in all heartbeats of one round.
	 */
	private record OwnState(LoadReport report, List<StorePosition> positions, boolean storeReached) {
	}

	/**
	 * Handles what arrives on the connections from other VMs.
	 */
	private final class Inbox implements PeerServer.Listener {

		@Override
		public void received(PeerServer.Receiver receiver, PeerMessage message, int bytes) {
			PeerNetwork.this.metrics.count("peer_received");
			PeerNetwork.this.metrics.add("peer_received_bytes", bytes);
			long nowMs = PeerNetwork.this.clockMs.getAsLong();
			if (message instanceof PeerMessage.Hello hello) {
				greet(receiver, hello, nowMs);
			}
			else if (isCurrent(receiver)) {
				heard(receiver.peer(), nowMs);
				receive(receiver.peer(), message, nowMs);
			}
		}

		// Messages that are read from an older connection after the greeting on a new one
		// may come from a previous process of the VM.
		private boolean isCurrent(PeerServer.Receiver receiver) {
			return receiver.peer() != null && receiver.peer().isReceiver(receiver);
		}

		private void greet(PeerServer.Receiver receiver, PeerMessage.Hello hello, long nowMs) {
			FleetMember sender = hello.sender();
			Peer peer = peer(sender.name(), sender.address());
			if (peer.isOutdated(hello.startedAtMs(), LOST_AFTER_MS, nowMs)) {
				refuse(receiver, peer, hello);
				return;
			}
			PeerNetwork.this.fleet.put(sender, nowMs);
			receiver.peer(peer);
			if (peer.greeted(receiver, hello.startedAtMs())) {
				lose(peer, "restarted");
			}
			heard(peer, nowMs);
			peer.link().resetDelay();
			peer.link().open();
		}

		// A process that is alive connects again; by then the one before it is lost.
		private void refuse(PeerServer.Receiver receiver, Peer peer, PeerMessage.Hello hello) {
			EventLog.state("peer_greeting_refused")
				.with("peer", peer.name())
				.with("started_at_ms", hello.startedAtMs())
				.write();
			receiver.close();
		}

		@Override
		public void relay(Channel channel, PeerMessage.RelayRequest request) {
			if (PeerNetwork.this.relays != null) {
				PeerNetwork.this.relays.accept(channel, request);
			}
			else {
				channel.close();
			}
		}

		@Override
		public void closed(PeerServer.Receiver receiver) {
			if (isCurrent(receiver)) {
				receiver.peer().receiverClosed();
				lose(receiver.peer(), "closed");
			}
		}

	}

	/**
	 * Handles changes of the connection to another VM.
	 */
	private final class LinkListener implements PeerLink.Listener {

		private Peer peer;

		@Override
		public void connected() {
			long nowMs = PeerNetwork.this.clockMs.getAsLong();
			this.peer.linkConnected(nowMs);
			send(this.peer, new PeerMessage.Hello(PeerNetwork.this.fleet.own(), PeerNetwork.this.startedAtMs));
			if (!this.peer.isAlive()) {
				send(this.peer, new PeerMessage.Ping(false, true));
			}
		}

		@Override
		public void disconnected() {
			lose(this.peer, "disconnected");
		}

	}

}
