package org.fulmargap.server;

import java.util.concurrent.ThreadLocalRandom;
import java.util.function.LongSupplier;

import com.codahale.metrics.MetricRegistry;
import dagger.Module;
import dagger.Provides;
import jakarta.inject.Singleton;
import org.fulmargap.admission.StageBudgets;
import org.fulmargap.ledger.ServiceIdentity;
import org.fulmargap.membership.Hello;
import org.fulmargap.membership.Incarnation;
import org.fulmargap.membership.MembershipLimits;
import org.fulmargap.membership.MembershipView;
import org.fulmargap.routing.AdaptiveRouter;
import org.fulmargap.routing.CrashQuarantine;
import org.fulmargap.routing.Router;
import org.fulmargap.routing.RouterSettings;
import org.fulmargap.timeline.Invariants;
import org.fulmargap.timeline.Timeline;

/**
 * Dependency injection module for the components without I/O.
 */
@Module
final class CoreModule {

	/**
	 * Enough for all crashing requests within the quarantine time in a deployment of the
	 * size that the design assumes.
	 */
	private static final int MAX_FINGERPRINTS = 4096;

	private CoreModule() {
	}

	@Provides
	@Singleton
	static LongSupplier clock() {
		return System::currentTimeMillis;
	}

	@Provides
	@Singleton
	static Incarnation incarnation(Settings settings, LongSupplier clock) {
		return new Incarnation(settings.vm(), clock.getAsLong());
	}

	@Provides
	@Singleton
	static ServiceIdentity identity(Settings settings, Incarnation incarnation) {
		return new ServiceIdentity(settings.vm(), incarnation.toString(), settings.failureDomain());
	}

	@Provides
	@Singleton
	static MembershipView membershipView(Settings settings, Incarnation incarnation, LongSupplier clock) {
		Hello self = new Hello(settings.vm(), incarnation, settings.failureDomain(), Hello.PROTOCOL_VERSION,
				settings.peerAddress().toString());
		return new MembershipView(self, MembershipLimits.DEFAULTS.withEvictAfterMs(settings.evictAfterMs()),
				clock.getAsLong());
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

}
