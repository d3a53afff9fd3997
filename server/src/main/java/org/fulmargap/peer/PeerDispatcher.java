package org.fulmargap.peer;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;

import org.fulmargap.membership.AdminOrder;
import org.fulmargap.membership.Heartbeat;
import org.fulmargap.membership.Hello;
import org.fulmargap.membership.Incarnation;
import org.fulmargap.membership.MembershipView;
import org.fulmargap.membership.PeerMessage;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles the messages of all links. Work for the services runs on two handler threads,
 * so that a slow service does not delay heartbeats.
 */
final class PeerDispatcher implements PeerLoop.Listener, AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(PeerDispatcher.class);

	private static final int HANDLER_THREADS = 2;

	// About 100 KB of a heartbeat.
	private static final int MAX_ORDERS = 1_000;

	private static final int MAX_WAITING_TASKS = 1_024;

	// Bounds the wait that a peer can ask for; requests have deadlines of seconds.
	private static final long LONGEST_WAIT_MS = 60_000;

	private final PeerSettings settings;

	private final MembershipView membership;

	private final PeerHandler handler;

	private final PeerEvents events;

	private final LongSupplier clock;

	private final FrameCodec codec;

	private final PendingQueries queries;

	private final RecentCrashReports strikes;

	private final Set<String> connected;

	private final ThreadPoolExecutor handlers;

	private PeerLoop loop;

	private long nextHeartbeatMs;

	private int nextOrder;

	PeerDispatcher(PeerSettings settings, MembershipView membership, PeerHandler handler, PeerEvents events,
			LongSupplier clock, FrameCodec codec, PendingQueries queries, RecentCrashReports strikes,
			Set<String> connected) {
		this.settings = settings;
		this.membership = membership;
		this.handler = handler;
		this.events = events;
		this.clock = clock;
		this.codec = codec;
		this.queries = queries;
		this.strikes = strikes;
		this.connected = connected;
		AtomicInteger number = new AtomicInteger();
		this.handlers = new ThreadPoolExecutor(HANDLER_THREADS, HANDLER_THREADS, 0, TimeUnit.SECONDS,
				new ArrayBlockingQueue<>(MAX_WAITING_TASKS), (task) -> {
					Thread thread = new Thread(task, "peer-handler-" + number.incrementAndGet());
					thread.setDaemon(true);
					return thread;
				});
	}

	void attach(PeerLoop newLoop) {
		this.loop = newLoop;
	}

	@Override
	public void message(PeerLink link, PeerMessage message) throws FrameException {
		if (message instanceof Hello hello) {
			hello(link, hello);
		}
		else if (link.remote() == null) {
			throw new FrameException(PeerEventType.UNEXPECTED_MESSAGE, "first message is not hello");
		}
		else if (message instanceof Heartbeat heartbeat) {
			heartbeat(link, heartbeat);
		}
		else if (message instanceof PeerMessage.Reply reply) {
			if (reply instanceof PeerMessage.KeyReply keyReply) {
				checkState(keyReply);
			}
			this.queries.reply(link, reply);
		}
		else if (message instanceof PeerMessage.Query query) {
			run(link, () -> answer(link, query));
		}
	}

	@Override
	public void linkClosed(PeerLink link) {
		this.queries.linkClosed(link);
		updateConnected();
		sendWaiting(this.clock.getAsLong());
	}

	@Override
	public void tick(long nowMs) {
		// The second condition holds after the clock was set back.
		if (nowMs >= this.nextHeartbeatMs || this.nextHeartbeatMs - nowMs > this.settings.heartbeatEveryMs()) {
			sendHeartbeats(nowMs);
		}
		sendWaiting(nowMs);
	}

	@Override
	public void stopped() {
		this.connected.clear();
		this.queries.endAll();
	}

	@Override
	public void close() {
		this.handlers.shutdownNow();
	}

	void sendWaiting(long nowMs) {
		if (!this.queries.isEmpty()) {
			this.queries.sendWaiting(this.loop.links().established(), this.loop::send, nowMs);
		}
	}

	void spreadStrikes(Map<String, List<String>> fingerprints) {
		long nowMs = this.clock.getAsLong();
		this.strikes.add(fingerprints, nowMs);
		PeerHandler.LocalStatus status = this.handler.status();
		for (PeerLink link : this.loop.links().established()) {
			this.loop.send(link, heartbeat(status, fingerprints, List.of(), List.of()));
		}
	}

	void sendHeartbeats(long nowMs) {
		this.nextHeartbeatMs = nowMs + this.settings.heartbeatEveryMs();
		PeerHandler.LocalStatus status = this.handler.status();
		this.membership.updateSelfStatus(status.leaving(), status.configVersion(), status.inFlight());
		List<String> silent = this.membership.unresponsiveMembers(nowMs);
		long checksum = status.orders().checksum();
		// Encoded once, because all links carry the same bytes.
		Optional<ByteBuffer> plain = encode(heartbeat(status, Map.of(), List.of(), silent));
		Optional<ByteBuffer> withOrders = Optional.empty();
		for (PeerLink link : this.loop.links().established()) {
			if (this.loop.links().isDuplicate(link) && link.isIdle() && !this.queries.isUsed(link)) {
				this.loop.close(link, PeerEventType.DUPLICATE_LINK, "the peer keeps its own link");
			}
			else {
				if (link.lacksOrders(checksum) && withOrders.isEmpty()) {
					withOrders = encode(heartbeat(status, Map.of(), nextOrders(status), silent));
				}
				(link.lacksOrders(checksum) ? withOrders : plain).ifPresent((frame) -> this.loop.send(link, frame));
			}
		}
	}

	private Heartbeat heartbeat(PeerHandler.LocalStatus status, Map<String, List<String>> newStrikes,
			List<AdminOrder> orders, List<String> silent) {
		return new Heartbeat(this.membership.self().incarnation(), status.leaving(), status.configVersion(),
				status.inFlight(), status.warmUpStarts(), newStrikes, status.orders().checksum(), orders, silent);
	}

	// Successive heartbeats carry successive parts of a long list, so that any number of
	// orders fits the frame bound.
	private List<AdminOrder> nextOrders(PeerHandler.LocalStatus status) {
		List<AdminOrder> orders = status.orders().list();
		int from = (this.nextOrder < orders.size()) ? this.nextOrder : 0;
		int to = Math.min(orders.size(), from + MAX_ORDERS);
		this.nextOrder = to;
		return orders.subList(from, to);
	}

	private Optional<ByteBuffer> encode(Heartbeat heartbeat) {
		try {
			return Optional.of(this.codec.encode(heartbeat));
		}
		catch (FrameException ex) {
			this.events.record(ex.type(), this.membership.self().vm(), ex.getMessage());
			return Optional.empty();
		}
	}

	private void hello(PeerLink link, Hello hello) throws FrameException {
		if (link.remote() != null) {
			throw new FrameException(PeerEventType.UNEXPECTED_MESSAGE, "second hello");
		}
		if (hello.vm().equals(this.membership.self().vm())) {
			throw new FrameException(PeerEventType.OWN_VM_NAME, "incarnation " + hello.incarnation());
		}
		long nowMs = this.clock.getAsLong();
		if (!this.membership.receiveHello(hello, nowMs)) {
			throw new FrameException(PeerEventType.STALE_INCARNATION, "incarnation " + hello.incarnation());
		}
		link.establish(hello);
		for (PeerLink other : this.loop.links().established()) {
			if (other.remote().incarnation().isOlderThan(hello.incarnation())) {
				this.loop.close(other, PeerEventType.STALE_INCARNATION,
						"replaced by incarnation " + hello.incarnation());
			}
		}
		this.loop.links().dialers().stream().filter((dialer) -> dialer.link() == link).forEach(Dialer::established);
		this.events.record(PeerEventType.LINK_UP, hello.vm(),
				"incarnation " + hello.incarnation() + (link.isDialed() ? ", dialed" : ", accepted"));
		updateConnected();
		PeerHandler.LocalStatus status = this.handler.status();
		this.loop.send(link, heartbeat(status, this.strikes.current(nowMs), nextOrders(status), List.of()));
		sendWaiting(nowMs);
	}

	private void heartbeat(PeerLink link, Heartbeat heartbeat) throws FrameException {
		Incarnation sender = link.remote().incarnation();
		if (!heartbeat.incarnation().equals(sender)
				|| !this.membership.receiveHeartbeat(heartbeat, this.clock.getAsLong())) {
			throw new FrameException(PeerEventType.STALE_INCARNATION, "heartbeat of " + heartbeat.incarnation());
		}
		link.peerOrders(heartbeat.ordersChecksum());
		if (!heartbeat.orders().isEmpty() || !heartbeat.strikes().isEmpty() || !heartbeat.warmUpStarts().isEmpty()) {
			run(link, () -> {
				if (!heartbeat.orders().isEmpty()) {
					this.handler.mergeOrders(heartbeat.orders());
				}
				if (!heartbeat.strikes().isEmpty()) {
					this.handler.mergeStrikes(heartbeat.strikes());
				}
				if (!heartbeat.warmUpStarts().isEmpty()) {
					this.handler.mergeWarmUpStarts(heartbeat.warmUpStarts());
				}
			});
		}
	}

	private void answer(PeerLink link, PeerMessage.Query query) {
		long queryId = query.queryId();
		if (query instanceof PeerMessage.OutcomeQuery outcome) {
			long waitMs = Math.max(0, Math.min(outcome.waitMs(), LONGEST_WAIT_MS));
			this.handler.outcome(outcome.claimKey(), waitMs)
				.thenAccept((result) -> reply(link, new PeerMessage.OutcomeReply(queryId, result.orElse(null))));
		}
		else if (query instanceof PeerMessage.KeyQuery key) {
			reply(link, new PeerMessage.KeyReply(queryId, this.handler.abandonUndispatched(key.claimKey()).name()));
		}
		else if (query instanceof PeerMessage.OrderPush push) {
			boolean applied = this.handler.mergeOrders(List.of(push.order())).covers(push.order());
			reply(link, new PeerMessage.OrderAck(queryId, applied));
		}
		else {
			Optional<PeerHandler.ConfigCopy> config = this.handler.config();
			reply(link, new PeerMessage.ConfigReply(queryId, config.map(PeerHandler.ConfigCopy::version).orElse(0L),
					config.map(PeerHandler.ConfigCopy::state).orElse(null)));
		}
	}

	private void reply(PeerLink link, PeerMessage.Reply reply) {
		this.loop.execute(() -> this.loop.send(link, reply));
	}

	private void run(PeerLink link, Runnable task) {
		try {
			this.handlers.execute(() -> {
				try {
					task.run();
				}
				catch (RuntimeException ex) {
					logger.error("event=PEER_HANDLER_FAULT peer={}", link.name(), ex);
				}
			});
		}
		catch (RejectedExecutionException ex) {
			// The asker sees no answer in time; orders and warm-up starts are repeated.
			this.events.record(PeerEventType.HANDLER_OVERLOADED, link.name(), MAX_WAITING_TASKS + " tasks wait");
		}
	}

	private void updateConnected() {
		Set<String> names = this.loop.links()
			.established()
			.stream()
			.map((link) -> link.remote().vm())
			.collect(java.util.stream.Collectors.toSet());
		this.connected.retainAll(names);
		this.connected.addAll(names);
	}

	private static void checkState(PeerMessage.KeyReply reply) throws FrameException {
		try {
			PeerNetwork.KeyState.valueOf(reply.state());
		}
		catch (IllegalArgumentException ex) {
			throw new FrameException(PeerEventType.BROKEN_FRAME, "unknown key state", ex);
		}
	}

}
