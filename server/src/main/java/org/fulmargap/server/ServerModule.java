package org.fulmargap.server;

import java.util.function.LongSupplier;

import com.codahale.metrics.MetricRegistry;
import dagger.Module;
import dagger.Provides;
import jakarta.inject.Singleton;
import org.fulmargap.admission.RetryBudget;
import org.fulmargap.admission.StageBudgets;
import org.fulmargap.endpoint.EndpointClient;
import org.fulmargap.endpoint.LoadPoller;
import org.fulmargap.http.CallerApi;
import org.fulmargap.http.CallerServices;
import org.fulmargap.http.OperatorApi;
import org.fulmargap.ledger.LogClaimService;
import org.fulmargap.ledger.LogConfigService;
import org.fulmargap.ledger.TimerQueue;
import org.fulmargap.membership.Incarnation;
import org.fulmargap.membership.MembershipView;
import org.fulmargap.peer.OrderService;
import org.fulmargap.peer.PeerHandler;
import org.fulmargap.peer.TcpPeerNetwork;
import org.fulmargap.pipeline.EndpointMonitor;
import org.fulmargap.pipeline.PipelineExecutor;
import org.fulmargap.pipeline.StageLog;
import org.fulmargap.routing.CrashQuarantine;
import org.fulmargap.routing.Router;
import org.fulmargap.timeline.Invariants;
import org.fulmargap.timeline.Timeline;

/**
 * Dependency injection module for the components that serve callers, operators and peers.
 */
@Module
final class ServerModule {

	private ServerModule() {
	}

	@Provides
	@Singleton
	static Threads threads(Settings settings) {
		return Threads.create(settings.maxInFlight());
	}

	@Provides
	@Singleton
	static EndpointClient endpointClient(Settings settings, LongSupplier clock, Timeline timeline,
			MetricRegistry metrics) {
		return new EndpointClient(clock, timeline, metrics, settings.maxInFlight());
	}

	@Provides
	@Singleton
	static EndpointMonitor endpointMonitor(CrashQuarantine quarantine, TcpPeerNetwork network, Timeline timeline,
			LongSupplier clock) {
		return new EndpointMonitor(quarantine, network::broadcastCrashReports, timeline, clock);
	}

	@Provides
	@Singleton
	static PipelineExecutor executor(Router router, EndpointClient client, EndpointMonitor monitor,
			Invariants invariants, Timeline timeline, MetricRegistry metrics, LongSupplier clock) {
		return new PipelineExecutor(router, client, new RetryBudget(), monitor, invariants,
				new StageLog(timeline, metrics), clock);
	}

	@Provides
	@Singleton
	static Operations operations(LogConfigService config, LogClaimService claims, MembershipView membership,
			OrderService orders, Lifecycle lifecycle, TimerQueue timers, LongSupplier clock) {
		return new Operations(config, claims, membership, orders, lifecycle, timers, clock);
	}

	@Provides
	@Singleton
	static Availability availability(OrderService orders, EndpointMonitor monitor, VmListCache vmList) {
		return new Availability(orders, monitor, vmList);
	}

	@Provides
	@Singleton
	static RouterUpdater routerUpdater(Settings settings, LogConfigService config, Availability availability,
			Router router, AdmissionPools admission, Timeline timeline, Invariants invariants, LongSupplier clock) {
		return new RouterUpdater(settings, config, availability, router, admission, timeline, invariants, clock);
	}

	@Provides
	@Singleton
	static LoadPoller loadPoller(LogConfigService config, Router router, EndpointMonitor monitor, EndpointClient client,
			LongSupplier clock) {
		return new LoadPoller(() -> config.current().configuration().endpoints(), router, monitor, client, clock);
	}

	@Provides
	@Singleton
	static RequestGate gate(Settings settings, Lifecycle lifecycle, CrashQuarantine quarantine,
			MembershipView membership) {
		return new RequestGate(lifecycle, quarantine, membership, settings.isolatedPolicy());
	}

	@Provides
	@Singleton
	static CallerApi callerApi(Settings settings, Incarnation incarnation, LogConfigService config,
			LogClaimService claims, RequestGate gate, AdmissionPools admission, StageBudgets budgets,
			PipelineExecutor executor, Threads threads, Timeline timeline, Invariants invariants,
			MetricRegistry metrics, LongSupplier clock) {
		return new CallerApi(
				new CallerServices(incarnation.toString(), settings.maxBodyBytes(), settings.keyLifetimeMs(), config,
						claims, gate, admission, (pipeline) -> budgets.expectedMs(pipeline, 0), executor,
						threads.workers(), threads.callbacks(), timeline, invariants, metrics, clock));
	}

	@Provides
	@Singleton
	static OperatorApi operatorApi(LogConfigService config, Operations operations, Timeline timeline,
			MetricRegistry metrics) {
		return new OperatorApi(config, operations, timeline, metrics);
	}

	@Provides
	@Singleton
	static PeerHandler peerHandler(Lifecycle lifecycle, LogConfigService config, LogClaimService claims,
			OrderService orders, Router router, CrashQuarantine quarantine, CallerApi callerApi, LongSupplier clock) {
		return new LocalPeerHandler(lifecycle, config, claims, orders, router, quarantine, callerApi::inFlight, clock);
	}

	@Provides
	@Singleton
	static Membership membership(MembershipView view, TcpPeerNetwork network, PeerHandler handler,
			LogConfigService config, LogClaimService claims, MaintenanceTasks maintenance, LongSupplier clock) {
		return new Membership(view, network, handler, config, claims, maintenance, clock);
	}

	@Provides
	@Singleton
	static EntryVm entryVm(Settings settings, Incarnation incarnation, Lifecycle lifecycle, Threads threads,
			Membership membership, EndpointClient client, RouterUpdater routerUpdater, LoadPoller loadPoller,
			CallerApi callerApi, OperatorApi operatorApi, Timeline timeline, LongSupplier clock) {
		return new EntryVm(settings, incarnation, lifecycle, threads, membership, client, routerUpdater, loadPoller,
				callerApi, operatorApi, timeline, clock);
	}

}
