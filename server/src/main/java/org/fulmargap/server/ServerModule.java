package org.fulmargap.server;

import java.util.concurrent.ThreadLocalRandom;
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
import org.fulmargap.pipeline.EndpointWatch;
import org.fulmargap.pipeline.PipelineExecutor;
import org.fulmargap.pipeline.StageLog;
import org.fulmargap.platform.ClaimService;
import org.fulmargap.platform.ConfigService;
import org.fulmargap.routing.AdaptiveRouter;
import org.fulmargap.routing.CrashQuarantine;
import org.fulmargap.routing.Router;
import org.fulmargap.routing.RouterSettings;
import org.fulmargap.timeline.Invariants;
import org.fulmargap.timeline.Timeline;

/**
 * Says how the parts of an entry VM are made.
 */
@Module
final class ServerModule {

	/** Enough for all crashing requests of the quarantine time at the design size. */
	private static final int MAX_FINGERPRINTS = 4096;

	private ServerModule() {
	}

	@Provides
	@Singleton
	static LongSupplier clock() {
		return System::currentTimeMillis;
	}

	@Provides
	@Singleton
	static Incarnation incarnation(Settings settings, LongSupplier clock) {
		return Incarnation.of(settings.vm(), clock.getAsLong(), ThreadLocalRandom.current().nextInt());
	}

	@Provides
	@Singleton
	static MetricRegistry metrics() {
		return new MetricRegistry();
	}

	@Provides
	@Singleton
	static Timeline timeline(Settings settings, LongSupplier clock) {
		return new Timeline(settings.vm(), Timeline.DEFAULT_CAPACITY, clock);
	}

	@Provides
	@Singleton
	static Invariants invariants(Timeline timeline, MetricRegistry metrics) {
		return new Invariants(timeline, metrics);
	}

	@Provides
	@Singleton
	static Lifecycle lifecycle(Settings settings) {
		return new Lifecycle(settings.drainNoticeMs());
	}

	@Provides
	@Singleton
	static Threads threads(Settings settings) {
		return Threads.create(settings.maxInFlight());
	}

	@Provides
	@Singleton
	static ClaimService claims() {
		return new ThinClaims();
	}

	@Provides
	@Singleton
	static ConfigService config() {
		return new ThinConfig();
	}

	@Provides
	@Singleton
	static Router router(Settings settings) {
		return new AdaptiveRouter(new RouterSettings(settings.vm(), settings.failureDomain(),
				settings.initialConcurrency(), settings.doublingMs(), ThreadLocalRandom.current().nextLong()));
	}

	@Provides
	@Singleton
	static CrashQuarantine quarantine() {
		return new CrashQuarantine(MAX_FINGERPRINTS);
	}

	@Provides
	@Singleton
	static StageBudgets budgets(Router router) {
		return new StageBudgets(router::expectedStageMs);
	}

	@Provides
	@Singleton
	static AdmissionPools admission(Settings settings, Router router, StageBudgets budgets, LongSupplier clock) {
		return new AdmissionPools(router, budgets, settings.maxInFlight(), clock);
	}

	@Provides
	@Singleton
	static EndpointClient endpointClient(Settings settings, LongSupplier clock, Timeline timeline,
			MetricRegistry metrics) {
		return new EndpointClient(clock, timeline, metrics, settings.maxInFlight());
	}

	@Provides
	@Singleton
	static EndpointWatch endpointWatch(CrashQuarantine quarantine, Timeline timeline, LongSupplier clock) {
		return new EndpointWatch(quarantine, (strikes) -> {
		}, timeline, clock);
	}

	@Provides
	@Singleton
	static PipelineExecutor executor(Router router, EndpointClient client, EndpointWatch watch, Invariants invariants,
			Timeline timeline, MetricRegistry metrics, LongSupplier clock) {
		return new PipelineExecutor(router, client, new RetryBudget(), watch, invariants,
				new StageLog(timeline, metrics), clock);
	}

	@Provides
	@Singleton
	static Operations operations(Settings settings, ConfigService config, Lifecycle lifecycle, EndpointWatch watch) {
		return new Operations(settings, config, lifecycle, watch);
	}

	@Provides
	@Singleton
	static RouterFeed routerFeed(Settings settings, ConfigService config, Operations operations, Router router,
			AdmissionPools admission, Timeline timeline, Invariants invariants, LongSupplier clock) {
		return new RouterFeed(settings, config, operations, router, admission, timeline, invariants, clock);
	}

	@Provides
	@Singleton
	static LoadPoller loadPoller(ConfigService config, Router router, EndpointWatch watch, EndpointClient client,
			LongSupplier clock) {
		return new LoadPoller(() -> config.current().configuration().endpoints(), router, watch, client, clock);
	}

	@Provides
	@Singleton
	static CallerApi callerApi(Settings settings, Incarnation incarnation, ConfigService config, ClaimService claims,
			Lifecycle lifecycle, CrashQuarantine quarantine, AdmissionPools admission, StageBudgets budgets,
			PipelineExecutor executor, Threads threads, Timeline timeline, Invariants invariants,
			MetricRegistry metrics, LongSupplier clock) {
		return new CallerApi(new CallerServices(incarnation.text(), settings.maxBodyBytes(), settings.keyLifetimeMs(),
				config, claims, new RequestGate(lifecycle, quarantine), admission,
				(pipeline) -> budgets.expectedMs(pipeline, 0), executor, threads.workers(), threads.callbacks(),
				timeline, invariants, metrics, clock));
	}

	@Provides
	@Singleton
	static OperatorApi operatorApi(ConfigService config, Operations operations, Timeline timeline,
			MetricRegistry metrics) {
		return new OperatorApi(config, operations, timeline, metrics);
	}

	@Provides
	@Singleton
	static EntryVm entryVm(Settings settings, Incarnation incarnation, Lifecycle lifecycle, Threads threads,
			EndpointClient client, RouterFeed routerFeed, LoadPoller loadPoller, CallerApi callerApi,
			OperatorApi operatorApi, Timeline timeline, LongSupplier clock) {
		return new EntryVm(settings, incarnation, lifecycle, threads, client, routerFeed, loadPoller, callerApi,
				operatorApi, timeline, clock);
	}

}
