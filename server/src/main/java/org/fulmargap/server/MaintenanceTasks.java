package org.fulmargap.server;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;

import org.fulmargap.config.ConfigState;
import org.fulmargap.ledger.LogConfigService;
import org.fulmargap.membership.MembershipView;
import org.fulmargap.peer.OrderService;
import org.fulmargap.peer.TcpPeerNetwork;
import org.fulmargap.timeline.EventType;
import org.fulmargap.timeline.Timeline;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Connects configuration, members, orders and the VM list, and does what is due now and
 * then.
 */
final class MaintenanceTasks implements AutoCloseable {

	private static final Logger LOG = LoggerFactory.getLogger(MaintenanceTasks.class);

	private static final long INTERVAL_MS = 500;

	private static final long FETCH_WAIT_MS = 1_000;

	private final LogConfigService config;

	private final MembershipView membership;

	private final OrderService orders;

	private final TcpPeerNetwork network;

	private final VmListWatch vmList;

	private final Timeline timeline;

	private final LongSupplier clock;

	private final AtomicBoolean fetching = new AtomicBoolean();

	private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(2, (task) -> {
		Thread thread = new Thread(task, "upkeep");
		thread.setDaemon(true);
		return thread;
	});

	private boolean logSilent;

	MaintenanceTasks(LogConfigService config, MembershipView membership, OrderService orders, TcpPeerNetwork network,
			VmListWatch vmList, Timeline timeline, LongSupplier clock) {
		this.config = config;
		this.membership = membership;
		this.orders = orders;
		this.network = network;
		this.vmList = vmList;
		this.timeline = timeline;
		this.clock = clock;
	}

	void start() {
		this.config.onChange(this::changed);
		schedule(this::run);
		schedule(this.vmList::refresh);
	}

	private void schedule(Runnable task) {
		this.scheduler.scheduleWithFixedDelay(() -> {
			try {
				task.run();
			}
			catch (RuntimeException ex) {
				// An exception would end the schedule.
				LOG.error("upkeep failed", ex);
			}
		}, 0, INTERVAL_MS, TimeUnit.MILLISECONDS);
	}

	private void changed(ConfigState state) {
		long nowMs = this.clock.getAsLong();
		this.membership.setJoined(state.members().values(), nowMs);
		this.orders.mergeFromLog(LoggedOrders.fromLog(state.orders().values()), nowMs);
	}

	private void run() {
		long nowMs = this.clock.getAsLong();
		boolean silent = this.config.isLogSilent();
		if (!silent) {
			this.membership.recordLogContact(nowMs);
		}
		if (silent != this.logSilent) {
			this.logSilent = silent;
			this.timeline.record(EventType.PLATFORM_STATE, "", this.config.state().version(), "part", "log", "failing",
					silent);
		}
		this.config.notePeerVersion(this.membership.highestPeerVersion(nowMs));
		this.orders.retryAppends(nowMs);
		if (silent) {
			fetchConfiguration();
		}
		else {
			evictSilent(nowMs);
		}
	}

	/**
	 * Takes over the configuration of a peer while the log does not answer, at start and
	 * to learn decisions that this entry VM missed.
	 */
	private void fetchConfiguration() {
		if (!this.fetching.compareAndSet(false, true)) {
			return;
		}
		this.network.fetchConfigs(FETCH_WAIT_MS).whenComplete((copies, ex) -> {
			this.fetching.set(false);
			if (ex == null && !copies.isEmpty() && this.config.installCopy(copies.get(0).state())) {
				this.timeline.record(EventType.PLATFORM_STATE, "", copies.get(0).version(), "part", "config", "detail",
						"taken over from a peer");
			}
		});
	}

	private void evictSilent(long nowMs) {
		VmListWatch.Reading reading = this.vmList.last();
		for (String vm : this.membership.evictableMembers(reading.vms().keySet(), reading.readAtMs(), nowMs)) {
			this.membership.incarnation(vm)
				.ifPresent((incarnation) -> this.config.evict(vm, incarnation.toString(),
						"absent from the VM list and silent"));
		}
	}

	@Override
	public void close() {
		this.scheduler.shutdownNow();
	}

}
