package org.fulmargap.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.fulmargap.claim.ClaimKey;
import org.fulmargap.claim.RecordedOutcome;
import org.fulmargap.membership.AdminOrder;
import org.fulmargap.membership.AdminOrders;
import org.fulmargap.membership.Hello;
import org.fulmargap.membership.Incarnation;
import org.fulmargap.membership.MembershipLimits;
import org.fulmargap.membership.MembershipView;

/**
 * Peer network of one entry VM that records events and received state, and replies with
 * configurable values.
 */
final class PeerNode implements PeerHandler, AutoCloseable {

	static final long WAIT_MS = 10_000;

	final MembershipView membership;

	final TcpPeerNetwork network;

	final OrderService orders;

	final BlockingQueue<Event> events = new LinkedBlockingQueue<>();

	private final List<Event> unmatched = new ArrayList<>();

	final BlockingQueue<Map<String, List<String>>> crashReports = new LinkedBlockingQueue<>();

	final BlockingQueue<Map<String, Long>> warmUpStarts = new LinkedBlockingQueue<>();

	final BlockingQueue<AdminOrders> orderChanges = new LinkedBlockingQueue<>();

	final Map<ClaimKey, PeerNetwork.KeyState> keys = new ConcurrentHashMap<>();

	final Map<ClaimKey, CompletableFuture<Optional<RecordedOutcome>>> outcomes = new ConcurrentHashMap<>();

	volatile Map<String, Long> ownWarmUpStarts = Map.of();

	volatile long configVersion;

	volatile long clockOffsetMs;

	PeerNode(String vm, long startedAtMs, String failureDomain, InetSocketAddress listen,
			Collection<InetSocketAddress> peers) throws IOException {
		Hello hello = new Hello(vm, new Incarnation(vm, startedAtMs), failureDomain, Hello.PROTOCOL_VERSION,
				PeerAddresses.format(listen));
		this.membership = new MembershipView(hello, MembershipLimits.DEFAULTS, System.currentTimeMillis());
		this.network = new TcpPeerNetwork(PeerSettings.withDefaults(listen, List.copyOf(peers)), this.membership,
				(type, peer, detail) -> this.events.add(new Event(type, peer, detail)),
				() -> System.currentTimeMillis() + this.clockOffsetMs);
		this.orders = new OrderService(vm, hello.incarnation().toString(),
				() -> this.membership.members(System.currentTimeMillis())
					.stream()
					.map((member) -> member.vm())
					.toList(),
				this.network::pushOrder, (order) -> {
				}, this.orderChanges::add);
		this.network.start(this);
	}

	static List<InetSocketAddress> freeAddresses(int count) throws IOException {
		List<ServerSocket> sockets = new ArrayList<>();
		try {
			for (int i = 0; i < count; i++) {
				sockets.add(new ServerSocket(0, 1, java.net.InetAddress.getLoopbackAddress()));
			}
			return sockets.stream()
				.map((socket) -> new InetSocketAddress(socket.getInetAddress(), socket.getLocalPort()))
				.toList();
		}
		finally {
			for (ServerSocket socket : sockets) {
				socket.close();
			}
		}
	}

	/**
	 * Waits for an event that no earlier call has returned.
	 */
	Event awaitEvent(PeerEventType type, String peer) throws InterruptedException {
		long endMs = System.currentTimeMillis() + WAIT_MS;
		while (true) {
			for (Event event : this.unmatched) {
				if (event.type() == type && event.peer().equals(peer)) {
					this.unmatched.remove(event);
					return event;
				}
			}
			Event event = this.events.poll(Math.max(0, endMs - System.currentTimeMillis()), TimeUnit.MILLISECONDS);
			if (event == null) {
				throw new AssertionError("no event " + type + " of " + peer + ", seen: " + this.unmatched);
			}
			this.unmatched.add(event);
		}
	}

	@Override
	public LocalStatus status() {
		return new LocalStatus(false, this.configVersion, 0, this.ownWarmUpStarts, this.orders.current());
	}

	@Override
	public AdminOrders mergeOrders(Collection<AdminOrder> received) {
		return this.orders.merge(received, System.currentTimeMillis());
	}

	@Override
	public void mergeCrashReports(Map<String, List<String>> received) {
		this.crashReports.add(received);
	}

	@Override
	public void mergeWarmUpStarts(Map<String, Long> starts) {
		this.warmUpStarts.add(starts);
	}

	@Override
	public PeerNetwork.KeyState abandonUndispatched(ClaimKey key) {
		return this.keys.getOrDefault(key, PeerNetwork.KeyState.NONE);
	}

	@Override
	public CompletableFuture<Optional<RecordedOutcome>> outcome(ClaimKey key, long waitMs) {
		return this.outcomes.getOrDefault(key, CompletableFuture.completedFuture(Optional.empty()));
	}

	@Override
	public Optional<ConfigCopy> config() {
		return (this.configVersion > 0) ? Optional.of(new ConfigCopy(this.configVersion,
				JsonNodeFactory.instance.objectNode().put("version", this.configVersion))) : Optional.empty();
	}

	@Override
	public void close() {
		this.network.close();
	}

	record Event(PeerEventType type, String peer, String detail) {
	}

}
