package org.fulmargap.server;

import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.fulmargap.platform.ConfigService;
import org.fulmargap.routing.Router;
import org.fulmargap.timeline.EventType;
import org.fulmargap.timeline.Invariants;
import org.fulmargap.timeline.Timeline;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the router and the admission up to date with configuration and orders.
 */
final class RouterFeed implements AutoCloseable {

	private static final Logger LOG = LoggerFactory.getLogger(RouterFeed.class);

	private static final long INTERVAL_MS = 50;

	private final Settings settings;

	private final ConfigService config;

	private final Operations operations;

	private final Router router;

	private final AdmissionPools admission;

	private final Timeline timeline;

	private final Invariants invariants;

	private final LongSupplier clock;

	private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor((task) -> {
		Thread thread = new Thread(task, "router-feed");
		thread.setDaemon(true);
		return thread;
	});

	private long version = -1;

	RouterFeed(Settings settings, ConfigService config, Operations operations, Router router, AdmissionPools admission,
			Timeline timeline, Invariants invariants, LongSupplier clock) {
		this.settings = settings;
		this.config = config;
		this.operations = operations;
		this.router = router;
		this.admission = admission;
		this.timeline = timeline;
		this.invariants = invariants;
		this.clock = clock;
	}

	void start() {
		this.scheduler.scheduleWithFixedDelay(this::update, 0, INTERVAL_MS, TimeUnit.MILLISECONDS);
	}

	private void update() {
		try {
			ConfigService.View view = this.config.current();
			this.invariants.check(view.version() >= this.version, "VERSION_WENT_BACK", "", view.version(),
					"version " + view.version() + " follows version " + this.version);
			if (view.version() > this.version) {
				this.timeline.record(EventType.CONFIG_IN_FORCE, "", view.version());
				this.version = view.version();
			}
			this.router.update(view.configuration(), this.operations.unavailable(view.configuration()),
					List.of(this.settings.vm()), this.clock.getAsLong());
			this.admission.refresh();
		}
		catch (RuntimeException ex) {
			// An exception would end the schedule and freeze the view of the router.
			LOG.error("update of the router failed", ex);
		}
	}

	@Override
	public void close() {
		this.scheduler.shutdownNow();
	}

}
