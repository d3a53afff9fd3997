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
 * Handles the messages of all links on the I/O thread. Calls of the {@link PeerHandler}
 * that answer queries or merge state run on two handler threads, so that a slow service
 * does not delay heartbeats.
 */
final class PeerDispatcher implements PeerLoop.Listener, AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(PeerDispatcher.class);

	private static final int HANDLER_THREADS = 2;

	// Orders per heartbeat; they take about 100 KB of the frame.
	private static final int MAX_ORDERS = 1_000;

	private static final int MAX_QUEUED_TASKS = 1_024;

	// Upper bound of the wait that a peer requests; requests have deadlines of seconds.
	private static final long MAX_WAIT_MS = 60_000;

	private final PeerSettings settings;

	private final MembershipView membership;

	private final PeerHandler handler;

	private final PeerEvents events;

	private final LongSupplier clock;

	private final FrameCodec codec;

	private final PendingQueries queries;

	private final RecentCrashReports crashReports;

	private final Set<String> connected;

	private final ThreadPoolExecutor handlers;

	private PeerLoop loop;

	private long nextHeartbeatMs;

	private int nextOrderIndex;

	PeerDispatcher(PeerSettings settings, MembershipView membership, PeerHandler handler, PeerEvents events,
			LongSupplier clock, FrameCodec codec, PendingQueries queries, RecentCrashReports crashReports,
			Set<String> connected) {
		this.settings = settings;
		this.membership = membership;
		this.handler = handler;
		this.events = events;
		this.clock = clock;
		this.codec = codec;
		this.queries = queries;
		this.crashReports = crashReports;
		this.connected = connected;
		AtomicInteger number = new AtomicInteger();
		this.handlers = new ThreadPoolExecutor(HANDLER_THREADS, HANDLER_THREADS, 0, TimeUnit.SECONDS,
				new ArrayBlockingQueue<>(MAX_QUEUED_TASKS), (task) -> {
					Thread thread = new Thread(task, "peer-handler-" + number.incrementAndGet());
					thread.setDaemon(true);
					return thread;
				});
	}

	void attach(PeerLoop newLoop) {
		this.loop = newLoop;
	}

	@Override
	public void messageReceived(PeerLink link, PeerMessage message) throws FrameException {
		if (message instanceof Hello hello) {
			receiveHello(link, hello);
		}
		else if (link.remote() == null) {
			throw new FrameException(PeerEventType.UNEXPECTED_MESSAGE, "first message is not a hello");
		}
		else if (message instanceof Heartbeat heartbeat) {
			receiveHeartbeat(link, heartbeat);
		}
		else if (message instanceof PeerMessage.Reply reply) {
			if (reply instanceof PeerMessage.KeyReply keyReply) {
				checkKeyState(keyReply);
			}
			this.queries.receiveReply(link, reply);
		}
		else if (message instanceof PeerMessage.Query query) {
			runOnHandlerThread(link, () -> answerQuery(link, query));
		}
	}

	@Override
	public void linkClosed(PeerLink link) {
		this.queries.linkClosed(link);
		updateConnected();
		sendPending(this.clock.getAsLong());
	}

	@Override
	public void tick(long nowMs) {
		// The second condition is true after the clock was set back.
		if (nowMs >= this.nextHeartbeatMs || this.nextHeartbeatMs - nowMs > this.settings.heartbeatIntervalMs()) {
			sendHeartbeats(nowMs);
		}
		sendPending(nowMs);
	}

	@Override
	public void stopped() {
		this.connected.clear();
		this.queries.completeAll();
	}

	@Override
	public void close() {
		this.handlers.shutdownNow();
	}

	void sendPending(long nowMs) {
		if (!this.queries.isEmpty()) {
			this.queries.sendPending(this.loop.links().established(), this.loop::send, nowMs);
		}
	}

	void broadcastCrashReports(Map<String, List<String>> fingerprints) {
		long nowMs = this.clock.getAsLong();
		this.crashReports.add(fingerprints, nowMs);
		PeerHandler.LocalStatus status = this.handler.status();
		for (PeerLink link : this.loop.links().established()) {
			this.loop.send(link, createHeartbeat(status, fingerprints, List.of(), List.of()));
		}
	}

	void sendHeartbeats(long nowMs) {
		this.nextHeartbeatMs = nowMs + this.settings.heartbeatIntervalMs();
		PeerHandler.LocalStatus status = this.handler.status();
		this.membership.updateSelfStatus(status.leaving(), status.configVersion(), status.inFlight());
		List<String> unresponsive = this.membership.unresponsiveMembers(nowMs);
		long checksum = status.orders().checksum();
		// Encoded once, because the same bytes are sent on all links.
		Optional<ByteBuffer> withoutOrders = encode(createHeartbeat(status, Map.of(), List.of(), unresponsive));
		Optional<ByteBuffer> withOrders = Optional.empty();
		for (PeerLink link : this.loop.links().established()) {
			if (this.loop.links().isDuplicate(link) && link.isIdle() && !this.queries.isUsed(link)) {
				this.loop.close(link, PeerEventType.DUPLICATE_LINK, "the peer keeps its own link");
			}
			else {
				if (link.lacksOrders(checksum) && withOrders.isEmpty()) {
					withOrders = encode(createHeartbeat(status, Map.of(), nextOrders(status), unresponsive));
				}
				(link.lacksOrders(checksum) ? withOrders : withoutOrders)
					.ifPresent((frame) -> this.loop.send(link, frame));
			}
		}
	}

	private Heartbeat createHeartbeat(PeerHandler.LocalStatus status, Map<String, List<String>> newCrashReports,
			List<AdminOrder> orders, List<String> unresponsive) {
		return new Heartbeat(this.membership.self().incarnation(), status.leaving(), status.configVersion(),
				status.inFlight(), status.warmUpStarts(), newCrashReports, status.orders().checksum(), orders,
				unresponsive);
	}

	// Successive heartbeats carry successive parts of a long list, so that the number of
	// orders is not limited by the frame size.
	private List<AdminOrder> nextOrders(PeerHandler.LocalStatus status) {
		List<AdminOrder> orders = status.orders().list();
		int from = (this.nextOrderIndex < orders.size()) ? this.nextOrderIndex : 0;
		int to = Math.min(orders.size(), from + MAX_ORDERS);
		this.nextOrderIndex = to;
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

	private void receiveHello(PeerLink link, Hello hello) throws FrameException {
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
		this.loop.send(link, createHeartbeat(status, this.crashReports.current(nowMs), nextOrders(status), List.of()));
		sendPending(nowMs);
	}

	private void receiveHeartbeat(PeerLink link, Heartbeat heartbeat) throws FrameException {
		Incarnation sender = link.remote().incarnation();
		if (!heartbeat.incarnation().equals(sender)
				|| !this.membership.receiveHeartbeat(heartbeat, this.clock.getAsLong())) {
			throw new FrameException(PeerEventType.STALE_INCARNATION, "heartbeat of " + heartbeat.incarnation());
		}
		link.setPeerOrdersChecksum(heartbeat.ordersChecksum());
		if (!heartbeat.orders().isEmpty() || !heartbeat.strikes().isEmpty() || !heartbeat.warmUpStarts().isEmpty()) {
			runOnHandlerThread(link, () -> {
				if (!heartbeat.orders().isEmpty()) {
					this.handler.mergeOrders(heartbeat.orders());
				}
				if (!heartbeat.strikes().isEmpty()) {
					this.handler.mergeCrashReports(heartbeat.strikes());
				}
				if (!heartbeat.warmUpStarts().isEmpty()) {
					this.handler.mergeWarmUpStarts(heartbeat.warmUpStarts());
				}
			});
		}
	}

	private void answerQuery(PeerLink link, PeerMessage.Query query) {
		long queryId = query.queryId();
		if (query instanceof PeerMessage.OutcomeQuery outcome) {
			long waitMs = Math.max(0, Math.min(outcome.waitMs(), MAX_WAIT_MS));
			this.handler.outcome(outcome.claimKey(), waitMs)
				.thenAccept((result) -> sendReply(link, new PeerMessage.OutcomeReply(queryId, result.orElse(null))));
		}
		else if (query instanceof PeerMessage.KeyQuery key) {
			sendReply(link, new PeerMessage.KeyReply(queryId, this.handler.abandonUndispatched(key.claimKey()).name()));
		}
		else if (query instanceof PeerMessage.OrderPush push) {
			boolean applied = this.handler.mergeOrders(List.of(push.order())).covers(push.order());
			sendReply(link, new PeerMessage.OrderAck(queryId, applied));
		}
		else {
			Optional<PeerHandler.ConfigCopy> config = this.handler.config();
			sendReply(link, new PeerMessage.ConfigReply(queryId, config.map(PeerHandler.ConfigCopy::version).orElse(0L),
					config.map(PeerHandler.ConfigCopy::state).orElse(null)));
		}
	}

	private void sendReply(PeerLink link, PeerMessage.Reply reply) {
		this.loop.execute(() -> this.loop.send(link, reply));
	}

	private void runOnHandlerThread(PeerLink link, Runnable task) {
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
			// A query then times out at the peer. Heartbeats repeat orders and warm-up
			// starts, but not crash reports.
			this.events.record(PeerEventType.HANDLER_OVERLOADED, link.name(), MAX_QUEUED_TASKS + " tasks are queued");
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

	private static void checkKeyState(PeerMessage.KeyReply reply) throws FrameException {
		try {
			PeerNetwork.KeyState.valueOf(reply.state());
		}
		catch (IllegalArgumentException ex) {
			throw new FrameException(PeerEventType.BROKEN_FRAME, "unknown key state", ex);
		}
	}

}
