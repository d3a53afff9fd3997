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
 * Passes configuration changes to the membership view and the orders, and runs periodic
 * maintenance: reads the VM list, retries appends of orders, fetches the configuration
 * from peers while the log does not answer, and evicts unresponsive members.
 */
final class MaintenanceTasks implements AutoCloseable {

	private static final Logger LOG = LoggerFactory.getLogger(MaintenanceTasks.class);

	private static final long INTERVAL_MS = 500;

	private static final long FETCH_WAIT_MS = 1_000;

	private final LogConfigService config;

	private final MembershipView membership;

	private final OrderService orders;

	private final TcpPeerNetwork network;

	private final VmListCache vmList;

	private final Timeline timeline;

	private final LongSupplier clock;

	private final AtomicBoolean fetching = new AtomicBoolean();

	private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(2, (task) -> {
		Thread thread = new Thread(task, "upkeep");
		thread.setDaemon(true);
		return thread;
	});

	private boolean logFailing;

	MaintenanceTasks(LogConfigService config, MembershipView membership, OrderService orders, TcpPeerNetwork network,
			VmListCache vmList, Timeline timeline, LongSupplier clock) {
		this.config = config;
		this.membership = membership;
		this.orders = orders;
		this.network = network;
		this.vmList = vmList;
		this.timeline = timeline;
		this.clock = clock;
	}

	void start() {
		this.config.onChange(this::applyState);
		schedule(this::run);
		schedule(this.vmList::refresh);
	}

	private void schedule(Runnable task) {
		this.scheduler.scheduleWithFixedDelay(() -> {
			try {
				task.run();
			}
			catch (RuntimeException ex) {
				// An exception would cancel the schedule.
				LOG.error("maintenance task failed", ex);
			}
		}, 0, INTERVAL_MS, TimeUnit.MILLISECONDS);
	}

	private void applyState(ConfigState state) {
		long nowMs = this.clock.getAsLong();
		this.membership.setJoined(state.members().values(), nowMs);
		this.orders.mergeFromLog(LoggedOrders.fromLog(state.orders().values()), nowMs);
	}

	private void run() {
		long nowMs = this.clock.getAsLong();
		boolean nowFailing = this.config.isLogUnresponsive();
		if (!nowFailing) {
			this.membership.recordLogContact(nowMs);
		}
		if (nowFailing != this.logFailing) {
			this.logFailing = nowFailing;
			this.timeline.record(EventType.PLATFORM_STATE, "", this.config.state().version(), "part", "log", "failing",
					nowFailing);
		}
		this.config.recordPeerVersion(this.membership.highestPeerVersion(nowMs));
		this.orders.retryAppends(nowMs);
		if (nowFailing) {
			fetchConfiguration();
		}
		else {
			evictUnresponsive(nowMs);
		}
	}

	/**
	 * Installs the newest configuration of a peer while the log does not answer: at
	 * start, and to get decisions that this entry VM has not read.
	 */
	private void fetchConfiguration() {
		if (!this.fetching.compareAndSet(false, true)) {
			return;
		}
		this.network.fetchConfigs(FETCH_WAIT_MS).whenComplete((copies, ex) -> {
			this.fetching.set(false);
			if (ex == null && !copies.isEmpty() && this.config.installCopy(copies.get(0).state())) {
				this.timeline.record(EventType.PLATFORM_STATE, "", copies.get(0).version(), "part", "config", "detail",
						"installed from a peer");
			}
		});
	}

	private void evictUnresponsive(long nowMs) {
		VmListCache.Reading reading = this.vmList.last();
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
