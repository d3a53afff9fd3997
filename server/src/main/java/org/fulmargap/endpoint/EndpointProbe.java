package org.fulmargap.endpoint;

import java.io.IOException;
import java.net.ConnectException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.ConnectionPool;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.fulmargap.config.Json;
import org.fulmargap.routing.LoadReport;

/**
 * Checks on a new connection whether an endpoint is alive and which attempts it runs.
 * Concurrent probes of the same endpoint are combined into one.
 */
final class EndpointProbe {

	/**
	 * Timeout in milliseconds of each of the two requests of a probe. Endpoints answer
	 * them without queueing.
	 */
	static final long REQUEST_TIMEOUT_MS = 150;

	/**
	 * Replaces the response body when the endpoint refused the connection. An empty text
	 * stands for any other failure.
	 */
	private static final String REFUSED = "refused";

	private final OkHttpClient client;

	private final Map<String, CompletableFuture<Result>> running = new ConcurrentHashMap<>();

	EndpointProbe(OkHttpClient base) {
		this.client = base.newBuilder()
			.connectionPool(new ConnectionPool(0, 1, TimeUnit.MILLISECONDS))
			.callTimeout(REQUEST_TIMEOUT_MS, TimeUnit.MILLISECONDS)
			.build();
	}

	/**
	 * Starts a probe, or returns the one that is running.
	 * @param url the base URL of the endpoint
	 * @return a future with the result, never completed exceptionally
	 */
	CompletableFuture<Result> probe(String url) {
		CompletableFuture<Result> created = new CompletableFuture<>();
		CompletableFuture<Result> existing = this.running.putIfAbsent(url, created);
		if (existing != null) {
			return existing;
		}
		created.whenComplete((result, ex) -> this.running.remove(url, created));
		get(url + "/health")
			.thenCompose((health) -> (health.isEmpty() || health.equals(REFUSED))
					? CompletableFuture.completedFuture(health) : get(url + "/v1/load"))
			.thenAccept((body) -> created.complete(toResult(body)));
		return created;
	}

	private static Result toResult(String body) {
		if (body.isEmpty() || body.equals(REFUSED)) {
			return new Result(null, body.equals(REFUSED));
		}
		try {
			return new Result(Json.mapper().readValue(body, LoadReport.class), false);
		}
		catch (IOException ex) {
			return new Result(null, false);
		}
	}

	private CompletableFuture<String> get(String url) {
		CompletableFuture<String> body = new CompletableFuture<>();
		this.client.newCall(new Request.Builder().url(url).build()).enqueue(new Callback() {

			@Override
			public void onFailure(Call call, IOException ex) {
				body.complete((ex instanceof ConnectException) ? REFUSED : "");
			}

			@Override
			public void onResponse(Call call, Response response) {
				try (response) {
					String text = response.peekBody(1 << 20).string();
					body.complete(response.isSuccessful() ? (text.isEmpty() ? " " : text) : "");
				}
				catch (IOException ex) {
					body.complete("");
				}
			}

		});
		return body;
	}

	/**
	 * Result of a probe.
	 *
	 * @param load the load report, or {@code null} if the endpoint did not answer
	 * @param refused whether the endpoint refused the connection
	 */
	record Result(LoadReport load, boolean refused) {

		boolean answered() {
			return this.load != null;
		}

		/**
		 * Returns whether the endpoint is known neither to run nor to queue an attempt.
		 * Load reports may be old, so one that was made before the attempt was sent does
		 * not count.
		 * @param attempt the attempt
		 * @param sentAtMs the time at which the attempt was sent, milliseconds since the
		 * epoch
		 * @return {@code true} if a report made since then does not list the attempt
		 */
		boolean isKnownAbsent(String attempt, long sentAtMs) {
			return this.load != null && this.load.reportedAtMs() >= sentAtMs && !this.load.attempts().contains(attempt);
		}

	}

}
