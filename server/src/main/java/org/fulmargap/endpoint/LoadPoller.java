package org.fulmargap.endpoint;

import java.io.IOException;
import java.net.ConnectException;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.fulmargap.config.EndpointSpec;
import org.fulmargap.config.Json;
import org.fulmargap.routing.LoadReport;
import org.fulmargap.routing.Router;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Polls the load reports of all endpoints twice a second. Jitter keeps the entry VMs from
 * polling at the same times.
 */
public final class LoadPoller implements AutoCloseable {

	private static final Logger LOG = LoggerFactory.getLogger(LoadPoller.class);

	private static final long POLL_INTERVAL_MS = 500;

	private static final long CHECK_INTERVAL_MS = 50;

	private final Supplier<Map<String, EndpointSpec>> endpoints;

	private final Router router;

	private final EndpointObserver observer;

	private final OkHttpClient client;

	private final LongSupplier clock;

	private final Map<String, Long> nextPollAtMs = new ConcurrentHashMap<>();

	private final Set<String> inFlight = ConcurrentHashMap.newKeySet();

	private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor((task) -> {
		Thread thread = new Thread(task, "load-poller");
		thread.setDaemon(true);
		return thread;
	});

	/**
	 * Creates a poller.
	 * @param endpoints the endpoints of the configuration in force, by name
	 * @param router uses the reports for the selection of endpoints
	 * @param observer receives the reported status of endpoints and refused connections
	 * @param client the client whose connections are used
	 * @param clock the source of the current time in milliseconds since the epoch
	 */
	public LoadPoller(Supplier<Map<String, EndpointSpec>> endpoints, Router router, EndpointObserver observer,
			EndpointClient client, LongSupplier clock) {
		this.endpoints = endpoints;
		this.router = router;
		this.observer = observer;
		this.clock = clock;
		this.client = client.controlClient().newBuilder().callTimeout(Duration.ofMillis(POLL_INTERVAL_MS)).build();
	}

	/**
	 * Starts polling.
	 */
	public void start() {
		this.scheduler.scheduleWithFixedDelay(this::pollSafely, CHECK_INTERVAL_MS, CHECK_INTERVAL_MS,
				TimeUnit.MILLISECONDS);
	}

	private void pollSafely() {
		try {
			poll();
		}
		catch (RuntimeException ex) {
			// An uncaught exception would cancel the periodic task.
			LOG.error("polling of load reports failed", ex);
		}
	}

	private void poll() {
		long nowMs = this.clock.getAsLong();
		Map<String, EndpointSpec> current = this.endpoints.get();
		this.nextPollAtMs.keySet().retainAll(current.keySet());
		current.forEach((name, spec) -> {
			if (this.nextPollAtMs.getOrDefault(name, 0L) <= nowMs && this.inFlight.add(name)) {
				long jitterMs = ThreadLocalRandom.current().nextLong(-POLL_INTERVAL_MS / 5, POLL_INTERVAL_MS / 5 + 1);
				this.nextPollAtMs.put(name, nowMs + POLL_INTERVAL_MS + jitterMs);
				read(name, spec.url());
			}
		});
	}

	private void read(String name, String url) {
		this.client.newCall(new Request.Builder().url(url + "/v1/load").build()).enqueue(new Callback() {

			@Override
			public void onFailure(Call call, IOException ex) {
				if (ex instanceof ConnectException) {
					LoadPoller.this.observer.connectionRefused(name);
				}
				LoadPoller.this.inFlight.remove(name);
			}

			@Override
			public void onResponse(Call call, Response response) {
				try (response) {
					if (response.isSuccessful()) {
						LoadReport report = Json.mapper()
							.readValue(response.peekBody(1 << 20).string(), LoadReport.class);
						LoadPoller.this.router.observeLoad(name, report, LoadPoller.this.clock.getAsLong());
						LoadPoller.this.observer.statusReported(name, report.incarnation(),
								Boolean.parseBoolean(response.header(EndpointHeaders.LEAVING)));
					}
				}
				catch (IOException ex) {
					// The next poll will read a newer report.
				}
				finally {
					LoadPoller.this.inFlight.remove(name);
				}
			}

		});
	}

	@Override
	public void close() {
		this.scheduler.shutdownNow();
	}

}
