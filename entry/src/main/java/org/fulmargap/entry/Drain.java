package org.fulmargap.entry;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;

import io.netty.channel.EventLoop;
import org.fulmargap.entry.caller.CallerServer;
import org.fulmargap.entry.peer.PeerNetwork;
import org.fulmargap.entry.request.OpenRequests;
import org.fulmargap.entry.request.RequestRouter;
import org.fulmargap.entry.stage.StageCallDispatcher;
import org.fulmargap.platform.NodeSettings;

/**
 * The end of an entry VM after SIGTERM. New requests are accepted for a notice period, in
 * which the platform stops sending callers to this VM, and refused after it. Each request
 * is answered before the platform kills the process: those that can't be served in the
 * time that is left are refused as soon as this is known, and the rest at the end.
 */
final class Drain {

	/** How long new requests are still accepted after SIGTERM, in milliseconds. */
	private static final long NOTICE_MS = 2_400;

	/**
	 * The time between the end of the drain and SIGKILL, for the last answers and the
	 * exit, in milliseconds.
	 */
	private static final long EXIT_MARGIN_MS = 700;

	/** How long the last answers may take to be written, in milliseconds. */
	private static final long LAST_WRITES_MS = 300;

	private static final long POLL_MS = 50;

	private final NodeSettings settings;

	private final EventLoop loop;

	private final LongSupplier clockMs;

	private final CallerServer callers;

	private final PeerNetwork peers;

	private final RequestRouter router;

	private final OpenRequests openRequests;

	private final StageCallDispatcher dispatcher;

	private final LongSupplier storeCalls;

	private final AtomicBoolean begun = new AtomicBoolean();

	Drain(NodeSettings settings, EventLoop loop, LongSupplier clockMs, CallerServer callers, PeerNetwork peers,
			RequestRouter router, OpenRequests openRequests, StageCallDispatcher dispatcher, LongSupplier storeCalls) {
		this.settings = settings;
		this.loop = loop;
		this.clockMs = clockMs;
		this.callers = callers;
		this.peers = peers;
		this.router = router;
		this.openRequests = openRequests;
		this.dispatcher = dispatcher;
		this.storeCalls = storeCalls;
	}

	boolean hasBegun() {
		return this.begun.get();
	}

	/**
	 * Drains the VM. Returns when each request is answered, no work item is in flight and
	 * no connection of another VM is relayed, or when the time is over. Further calls
	 * change nothing and return at once.
	 * @return {@code false} if an earlier call drains or has drained the VM
	 * @throws InterruptedException if the thread is interrupted meanwhile
	 */
	boolean run() throws InterruptedException {
		if (!this.begun.compareAndSet(false, true)) {
			return false;
		}
		long limitMs = this.settings.graceMs() - EXIT_MARGIN_MS;
		long limitAtMs = this.clockMs.getAsLong() + limitMs;
		this.loop.execute(() -> begin(limitMs, limitAtMs));
		Thread.sleep(NOTICE_MS);
		this.loop.execute(() -> {
			this.router.refuseNew();
			this.callers.closeUnused();
		});
		awaitIdle(limitAtMs);
		// A request may have arrived since the last check. After this none is read.
		this.loop.submit(this.callers::stopReading).awaitUninterruptibly();
		awaitIdle(limitAtMs);
		this.loop.submit(this::stopRequests).awaitUninterruptibly();
		awaitWrites(this.clockMs.getAsLong() + LAST_WRITES_MS);
		EventLog.state("stopped")
			.with("vm", this.settings.vm())
			.with("unfinished", busyConnections())
			.with("pieces", pendingItems())
			.with("store_calls", this.storeCalls.getAsLong())
			.write();
		return true;
	}

	private void begin(long limitMs, long limitAtMs) {
		EventLog.state("draining")
			.with("vm", this.settings.vm())
			.with("open", this.openRequests.count())
			.with("pieces", this.dispatcher.pendingCount())
			.with("limit_ms", limitMs)
			.write();
		this.callers.drain();
		this.peers.drain();
		this.openRequests.stopAt(limitAtMs);
	}

	private void stopRequests() {
		if (this.openRequests.count() > 0) {
			EventLog.state("drain_limit")
				.with("vm", this.settings.vm())
				.with("open", this.openRequests.count())
				.with("pieces", this.dispatcher.pendingCount())
				.write();
		}
		this.openRequests.stopAll();
	}

	private void awaitIdle(long limitAtMs) throws InterruptedException {
		while ((busyConnections() > 0 || pendingItems() > 0 || relays() > 0) && this.clockMs.getAsLong() < limitAtMs) {
			Thread.sleep(POLL_MS);
		}
	}

	private void awaitWrites(long limitAtMs) throws InterruptedException {
		while (busyConnections() > 0 && this.clockMs.getAsLong() < limitAtMs) {
			Thread.sleep(POLL_MS);
		}
	}

	private int pendingItems() throws InterruptedException {
		return this.loop.submit(this.dispatcher::pendingCount).awaitUninterruptibly().getNow();
	}

	private int relays() throws InterruptedException {
		return this.loop.submit(this.peers::relayCount).awaitUninterruptibly().getNow();
	}

	private long busyConnections() throws InterruptedException {
		return this.loop.submit(this.callers::busyConnections).awaitUninterruptibly().getNow();
	}

}
