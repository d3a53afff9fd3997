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
 * Reads the load reports of all endpoints twice a second, at jittered times so that the
 * entry VMs do not ask in step.
 */
public final class LoadPoller implements AutoCloseable {

	private static final Logger LOG = LoggerFactory.getLogger(LoadPoller.class);

	private static final long INTERVAL_MS = 500;

	private static final long TICK_MS = 50;

	private final Supplier<Map<String, EndpointSpec>> endpoints;

	private final Router router;

	private final EndpointObserver observer;

	private final OkHttpClient client;

	private final LongSupplier clock;

	private final Map<String, Long> nextAtMs = new ConcurrentHashMap<>();

	private final Set<String> running = ConcurrentHashMap.newKeySet();

	private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor((task) -> {
		Thread thread = new Thread(task, "load-poller");
		thread.setDaemon(true);
		return thread;
	});

	/**
	 * Creates a poller.
	 * @param endpoints the endpoints of the configuration in force, by name
	 * @param router receives the reports
	 * @param observer learns about restarts and endpoints that are leaving
	 * @param client the client whose connections are used
	 * @param clock the source of the present time in milliseconds since the epoch
	 */
	public LoadPoller(Supplier<Map<String, EndpointSpec>> endpoints, Router router, EndpointObserver observer,
			EndpointClient client, LongSupplier clock) {
		this.endpoints = endpoints;
		this.router = router;
		this.observer = observer;
		this.clock = clock;
		this.client = client.http().newBuilder().callTimeout(Duration.ofMillis(INTERVAL_MS)).build();
	}

	/**
	 * Starts polling.
	 */
	public void start() {
		this.scheduler.scheduleWithFixedDelay(this::pollSafely, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
	}

	private void pollSafely() {
		try {
			poll();
		}
		catch (RuntimeException ex) {
			// An exception would end the schedule.
			LOG.error("reading of load reports failed", ex);
		}
	}

	private void poll() {
		long nowMs = this.clock.getAsLong();
		Map<String, EndpointSpec> present = this.endpoints.get();
		this.nextAtMs.keySet().retainAll(present.keySet());
		present.forEach((name, spec) -> {
			if (this.nextAtMs.getOrDefault(name, 0L) <= nowMs && this.running.add(name)) {
				long jitterMs = ThreadLocalRandom.current().nextLong(-INTERVAL_MS / 5, INTERVAL_MS / 5 + 1);
				this.nextAtMs.put(name, nowMs + INTERVAL_MS + jitterMs);
				read(name, spec.url());
			}
		});
	}

	private void read(String name, String url) {
		this.client.newCall(new Request.Builder().url(url + "/v1/load").build()).enqueue(new Callback() {

			@Override
			public void onFailure(Call call, IOException ex) {
				if (ex instanceof ConnectException) {
					LoadPoller.this.observer.refused(name);
				}
				LoadPoller.this.running.remove(name);
			}

			@Override
			public void onResponse(Call call, Response response) {
				try (response) {
					if (response.isSuccessful()) {
						LoadReport report = Json.mapper()
							.readValue(response.peekBody(1 << 20).string(), LoadReport.class);
						LoadPoller.this.router.observeLoad(name, report, LoadPoller.this.clock.getAsLong());
						LoadPoller.this.observer.seen(name, report.incarnation(),
								Boolean.parseBoolean(response.header(EndpointHeaders.LEAVING)));
					}
				}
				catch (IOException ex) {
					// The next poll reads a newer report.
				}
				finally {
					LoadPoller.this.running.remove(name);
				}
			}

		});
	}

	@Override
	public void close() {
		this.scheduler.shutdownNow();
	}

}
