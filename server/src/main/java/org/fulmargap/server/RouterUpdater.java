package org.fulmargap.server;

import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.fulmargap.ledger.ConfigService;
import org.fulmargap.ledger.LogConfigService;
import org.fulmargap.routing.Router;
import org.fulmargap.timeline.EventType;
import org.fulmargap.timeline.Invariants;
import org.fulmargap.timeline.Timeline;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Updates the router and the admission with the configuration in force, the available
 * endpoints and the members: periodically, and at once when the configuration changes.
 */
final class RouterUpdater implements AutoCloseable {

	private static final Logger LOG = LoggerFactory.getLogger(RouterUpdater.class);

	private static final long INTERVAL_MS = 50;

	private final Settings settings;

	private final LogConfigService config;

	private final Availability availability;

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

	RouterUpdater(Settings settings, LogConfigService config, Availability availability, Router router,
			AdmissionPools admission, Timeline timeline, Invariants invariants, LongSupplier clock) {
		this.settings = settings;
		this.config = config;
		this.availability = availability;
		this.router = router;
		this.admission = admission;
		this.timeline = timeline;
		this.invariants = invariants;
		this.clock = clock;
	}

	void start() {
		this.config.onChange((state) -> update());
		this.scheduler.scheduleWithFixedDelay(this::update, 0, INTERVAL_MS, TimeUnit.MILLISECONDS);
	}

	private synchronized void update() {
		try {
			ConfigService.View view = this.config.current();
			this.invariants.check(view.version() >= this.version, "VERSION_WENT_BACK", "", view.version(),
					"version " + view.version() + " follows version " + this.version);
			if (view.version() > this.version) {
				this.timeline.record(EventType.CONFIG_IN_FORCE, "", view.version());
				this.version = view.version();
			}
			this.router.update(view.configuration(), this.availability.unavailable(view), members(),
					this.clock.getAsLong());
			this.admission.refresh();
		}
		catch (RuntimeException ex) {
			// An exception would cancel the schedule, so that the router would not be
			// updated any more.
			LOG.error("router update failed", ex);
		}
	}

	private Set<String> members() {
		Set<String> members = new TreeSet<>(this.config.vms());
		members.add(this.settings.vm());
		return members;
	}

	@Override
	public void close() {
		this.scheduler.shutdownNow();
	}

}
