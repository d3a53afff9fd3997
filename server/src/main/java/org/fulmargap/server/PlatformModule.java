package org.fulmargap.server;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import com.codahale.metrics.MetricRegistry;
import dagger.Module;
import dagger.Provides;
import jakarta.inject.Singleton;
import okhttp3.OkHttpClient;
import org.fulmargap.ledger.ConfigSettings;
import org.fulmargap.ledger.HttpPlatformLog;
import org.fulmargap.ledger.HttpVmDirectory;
import org.fulmargap.ledger.LogClaimService;
import org.fulmargap.ledger.LogConfigService;
import org.fulmargap.ledger.PlatformLog;
import org.fulmargap.ledger.ServiceIdentity;
import org.fulmargap.ledger.TimerQueue;
import org.fulmargap.membership.Incarnation;
import org.fulmargap.membership.MembershipView;
import org.fulmargap.peer.OrderService;
import org.fulmargap.peer.PeerSettings;
import org.fulmargap.peer.TcpPeerNetwork;
import org.fulmargap.timeline.EventType;
import org.fulmargap.timeline.Timeline;

/**
 * Dependency injection module for the components that communicate with the platform and
 * with other entry VMs.
 */
@Module
final class PlatformModule {

	private PlatformModule() {
	}

	@Provides
	@Singleton
	static OkHttpClient platformClient() {
		return new OkHttpClient.Builder().proxy(java.net.Proxy.NO_PROXY).build();
	}

	@Provides
	@Singleton
	static PlatformLog log(Settings settings, OkHttpClient client) {
		return new HttpPlatformLog(client, settings.platformLogUrl());
	}

	@Provides
	@Singleton
	static VmListCache vmList(Settings settings, OkHttpClient client, Timeline timeline, LongSupplier clock) {
		return new VmListCache(new HttpVmDirectory(client, settings.platformVmsUrl()), timeline, clock);
	}

	@Provides
	@Singleton
	static TimerQueue timers(Threads threads) {
		return (delayMs, task) -> threads.timers().schedule(task, delayMs, TimeUnit.MILLISECONDS);
	}

	@Provides
	@Singleton
	static LogConfigService config(Settings settings, PlatformLog log, ServiceIdentity identity, TimerQueue timers,
			MetricRegistry metrics, LongSupplier clock) {
		return new LogConfigService(log, identity,
				ConfigSettings.of(settings.patchTimeoutMs(), settings.snapshotEveryMs()), clock, timers, metrics);
	}

	@Provides
	@Singleton
	static LogClaimService claims(Settings settings, PlatformLog log, ServiceIdentity identity, TcpPeerNetwork network,
			LogConfigService config, TimerQueue timers, MembershipView membership, MetricRegistry metrics,
			LongSupplier clock) {
		return new LogClaimService(log, () -> network, new KnownMembers(config, membership, clock), identity,
				settings.keyLifetimeMs(), clock, timers, metrics);
	}

	@Provides
	@Singleton
	static TcpPeerNetwork network(Settings settings, MembershipView membership, Timeline timeline,
			MetricRegistry metrics, LongSupplier clock) {
		PeerSettings peerSettings = PeerSettings.withDefaults(settings.peerAddress().toSocketAddress(),
				settings.peers().stream().map(Address::toSocketAddress).toList());
		return new TcpPeerNetwork(peerSettings, membership, (type, peer, detail) -> {
			metrics.counter("peer_events." + type).inc();
			timeline.record(EventType.PEER_EVENT, "", 0, "peer_event", type, "peer", peer, "detail", detail);
		}, clock);
	}

	@Provides
	@Singleton
	static OrderService orders(Settings settings, Incarnation incarnation, LogConfigService config,
			TcpPeerNetwork network, Timeline timeline) {
		return new OrderService(settings.vm(), incarnation.toString(), config::vms, network::pushOrder,
				(order) -> config.append(LoggedOrders.toLog(order)), (orders) -> timeline
					.record(EventType.ORDER_IN_FORCE, "", config.state().version(), "orders", orders.list().size()));
	}

	@Provides
	@Singleton
	static MaintenanceTasks maintenanceTasks(LogConfigService config, MembershipView membership, OrderService orders,
			TcpPeerNetwork network, VmListCache vmList, Timeline timeline, LongSupplier clock) {
		return new MaintenanceTasks(config, membership, orders, network, vmList, timeline, clock);
	}

}
