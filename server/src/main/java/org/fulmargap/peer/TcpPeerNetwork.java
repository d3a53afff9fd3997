package org.fulmargap.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;

import org.fulmargap.claim.ClaimKey;
import org.fulmargap.claim.RecordedOutcome;
import org.fulmargap.membership.AdminOrder;
import org.fulmargap.membership.Incarnation;
import org.fulmargap.membership.MembershipView;
import org.fulmargap.membership.PeerMessage;

/**
 * Links to the other entry VMs over TCP. Uses one I/O thread for all links and two
 * handler threads, independent of the number of peers.
 */
public final class TcpPeerNetwork implements PeerNetwork {

	private final PeerSettings settings;

	private final MembershipView membership;

	private final PeerEvents events;

	private final LongSupplier clock;

	private final RecentCrashReports crashReports = new RecentCrashReports();

	private final PendingQueries queries = new PendingQueries();

	private final AtomicLong queryIds = new AtomicLong();

	private final Set<String> connected = ConcurrentHashMap.newKeySet();

	private volatile PeerHandler handler;

	private volatile PeerLoop loop;

	private volatile PeerDispatcher dispatcher;

	private volatile boolean closed;

	/**
	 * Creates the network. No connection is made before {@link #start}.
	 * @param settings the addresses and limits
	 * @param membership records the messages of peers and detects failed peers
	 * @param events receives the events of the links
	 * @param clock returns milliseconds since the epoch
	 */
	public TcpPeerNetwork(PeerSettings settings, MembershipView membership, PeerEvents events, LongSupplier clock) {
		this.settings = Objects.requireNonNull(settings, "settings");
		this.membership = Objects.requireNonNull(membership, "membership");
		this.events = Objects.requireNonNull(events, "events");
		this.clock = Objects.requireNonNull(clock, "clock");
	}

	/**
	 * Opens the listener and starts to connect to the peers.
	 * @param newHandler handles the queries and state updates of peers
	 * @throws IOException if the listen address cannot be used
	 */
	public void start(PeerHandler newHandler) throws IOException {
		this.handler = Objects.requireNonNull(newHandler, "newHandler");
		FrameCodec codec = new FrameCodec(this.settings.maxFrameBytes());
		this.dispatcher = new PeerDispatcher(this.settings, this.membership, newHandler, this.events, this.clock, codec,
				this.queries, this.crashReports, this.connected);
		this.loop = new PeerLoop(this.settings, this.membership.self(), codec, this.dispatcher, this.events,
				this.clock);
		this.dispatcher.attach(this.loop);
		this.loop.start();
	}

	/**
	 * Returns the address of the listener.
	 * @return the address, with the port assigned by the system if the settings state
	 * port zero
	 * @throws IOException if the network is closed
	 */
	public InetSocketAddress localAddress() throws IOException {
		return this.loop.localAddress();
	}

	/**
	 * Returns the VMs to which a link is established.
	 * @return the names of the VMs
	 */
	public Set<String> connectedVms() {
		return Set.copyOf(this.connected);
	}

	@Override
	public CompletableFuture<Optional<RecordedOutcome>> queryOutcome(String incarnation, ClaimKey key, long waitMs) {
		Incarnation owner = Incarnation.tryParse(incarnation).orElse(null);
		if (owner == null) {
			return CompletableFuture.completedFuture(Optional.empty());
		}
		if (owner.equals(this.membership.self().incarnation())) {
			return this.handler.outcome(key, waitMs);
		}
		PeerMessage.Query query = new PeerMessage.OutcomeQuery(this.queryIds.incrementAndGet(), key.account(),
				key.key(), waitMs);
		return queryIncarnation(owner, query, PeerMessage.OutcomeReply.class, waitMs)
			.thenApply((reply) -> reply.flatMap(PeerMessage.OutcomeReply::result));
	}

	@Override
	public CompletableFuture<Map<String, KeyState>> queryKey(Collection<String> vms, ClaimKey key, long waitMs) {
		return queryAll(vms, waitMs,
				() -> new PeerMessage.KeyQuery(this.queryIds.incrementAndGet(), key.account(), key.key()),
				PeerMessage.KeyReply.class)
			.thenApply((replies) -> {
				Map<String, KeyState> states = replies.entrySet()
					.stream()
					.collect(
							Collectors.toMap(Map.Entry::getKey, (entry) -> KeyState.valueOf(entry.getValue().state())));
				if (vms.contains(this.membership.self().vm())) {
					states.put(this.membership.self().vm(), this.handler.abandonUndispatched(key));
				}
				return Map.copyOf(states);
			});
	}

	/**
	 * Sends an order to members without waiting for the next heartbeat.
	 * @param order the order
	 * @param vms the names of the members; this VM is skipped
	 * @param waitMs the longest wait in milliseconds
	 * @return a future with the names of the members that have confirmed the order, never
	 * completed exceptionally
	 */
	public CompletableFuture<Set<String>> pushOrder(AdminOrder order, Collection<String> vms, long waitMs) {
		return queryAll(vms, waitMs, () -> new PeerMessage.OrderPush(this.queryIds.incrementAndGet(), order),
				PeerMessage.OrderAck.class)
			.thenApply((replies) -> replies.entrySet()
				.stream()
				.filter((entry) -> entry.getValue().applied())
				.map(Map.Entry::getKey)
				.collect(Collectors.toUnmodifiableSet()));
	}

	/**
	 * Requests the configuration of all configured peers. Used while the log does not
	 * answer, also at start, when links may not be established yet: the query to an
	 * address ends without a reply when a connection attempt to it fails.
	 * @param waitMs the longest wait in milliseconds
	 * @return a future with the configurations of the peers that have one, highest
	 * version first; never completed exceptionally
	 */
	public CompletableFuture<List<PeerHandler.ConfigCopy>> fetchConfigs(long waitMs) {
		CompletableFuture<List<PeerHandler.ConfigCopy>> result = new CompletableFuture<>();
		boolean started = submit(() -> {
			List<CompletableFuture<Optional<PeerMessage.Reply>>> replies = new ArrayList<>();
			for (Dialer dialer : this.loop.links().dialers()) {
				long failures = dialer.failures();
				replies.add(addQuery(new PendingQueries.Pending(
						new PeerMessage.ConfigFetch(this.queryIds.incrementAndGet()), PeerMessage.ConfigReply.class,
						(link) -> dialer.address().equals(link.dialedAddress())
								|| dialer.addressText().equals(link.remote().peerAddress()),
						() -> dialer.failures() > failures, this.clock.getAsLong() + waitMs)));
			}
			CompletableFuture.allOf(replies.toArray(CompletableFuture[]::new))
				.thenRun(() -> result.complete(replies.stream()
					.flatMap((reply) -> reply.join().stream())
					.map(PeerMessage.ConfigReply.class::cast)
					.filter((reply) -> reply.state() != null && !reply.state().isNull())
					.sorted((left, right) -> Long.compare(right.version(), left.version()))
					.map((reply) -> new PeerHandler.ConfigCopy(reply.version(), reply.state()))
					.toList()));
		});
		if (!started) {
			result.complete(List.of());
		}
		return result;
	}

	@Override
	public void broadcastCrashReports(Map<String, List<String>> fingerprints) {
		submit(() -> this.dispatcher.broadcastCrashReports(fingerprints));
	}

	/**
	 * Sends a heartbeat on all links without waiting for the next interval, for example
	 * when this VM starts to shut down.
	 */
	public void sendHeartbeats() {
		submit(() -> this.dispatcher.sendHeartbeats(this.clock.getAsLong()));
	}

	@Override
	public void close() {
		this.closed = true;
		if (this.loop != null) {
			this.loop.close();
			this.dispatcher.close();
		}
	}

	private <R extends PeerMessage.Reply> CompletableFuture<Map<String, R>> queryAll(Collection<String> vms,
			long waitMs, java.util.function.Supplier<PeerMessage.Query> queryFactory, Class<R> replyClass) {
		Map<String, CompletableFuture<Optional<R>>> replies = vms.stream()
			.filter((vm) -> !vm.equals(this.membership.self().vm()))
			.distinct()
			.collect(Collectors.toMap((vm) -> vm, (vm) -> queryVm(vm, queryFactory.get(), replyClass, waitMs)));
		return CompletableFuture.allOf(replies.values().toArray(CompletableFuture[]::new))
			.thenApply((ignored) -> replies.entrySet()
				.stream()
				.filter((entry) -> entry.getValue().join().isPresent())
				.collect(Collectors.toMap(Map.Entry::getKey, (entry) -> entry.getValue().join().get())));
	}

	private <R extends PeerMessage.Reply> CompletableFuture<Optional<R>> queryVm(String vm, PeerMessage.Query query,
			Class<R> replyClass, long waitMs) {
		return query(query, replyClass, waitMs, (link) -> link.remote().vm().equals(vm),
				() -> !this.membership.isAlive(vm, this.clock.getAsLong()));
	}

	private <R extends PeerMessage.Reply> CompletableFuture<Optional<R>> queryIncarnation(Incarnation incarnation,
			PeerMessage.Query query, Class<R> replyClass, long waitMs) {
		return query(query, replyClass, waitMs, (link) -> link.remote().incarnation().equals(incarnation),
				() -> !this.membership.isAlive(incarnation.vm(), this.clock.getAsLong())
						|| !this.membership.incarnation(incarnation.vm()).equals(Optional.of(incarnation)));
	}

	private <R extends PeerMessage.Reply> CompletableFuture<Optional<R>> query(PeerMessage.Query query,
			Class<R> replyClass, long waitMs, java.util.function.Predicate<PeerLink> target,
			java.util.function.BooleanSupplier unreachable) {
		PendingQueries.Pending pending = new PendingQueries.Pending(query, replyClass, target, unreachable,
				this.clock.getAsLong() + waitMs);
		if (!submit(() -> addQuery(pending))) {
			return CompletableFuture.completedFuture(Optional.empty());
		}
		return pending.future().thenApply((reply) -> reply.map(replyClass::cast));
	}

	private CompletableFuture<Optional<PeerMessage.Reply>> addQuery(PendingQueries.Pending pending) {
		this.queries.add(pending);
		this.dispatcher.sendPending(this.clock.getAsLong());
		return pending.future();
	}

	private boolean submit(Runnable task) {
		if (this.loop == null || this.closed) {
			return false;
		}
		this.loop.execute(task);
		return true;
	}

}
