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
 * Asks an endpoint on a new connection whether it lives and which attempts it runs. Calls
 * that wait for the same endpoint share one probe.
 */
final class EndpointProbe {

	/** Time for one answer; endpoints answer these requests without queueing. */
	static final long ANSWER_LIMIT_MS = 150;

	/** Stands for the answer of an endpoint that refused the connection. */
	private static final String REFUSED = "refused";

	private final OkHttpClient client;

	private final Map<String, CompletableFuture<Finding>> running = new ConcurrentHashMap<>();

	EndpointProbe(OkHttpClient base) {
		this.client = base.newBuilder()
			.connectionPool(new ConnectionPool(0, 1, TimeUnit.MILLISECONDS))
			.callTimeout(ANSWER_LIMIT_MS, TimeUnit.MILLISECONDS)
			.build();
	}

	/**
	 * Starts a probe, or joins the one that runs.
	 * @param url the base URL of the endpoint
	 * @return a future with the finding, never completed exceptionally
	 */
	CompletableFuture<Finding> probe(String url) {
		CompletableFuture<Finding> own = new CompletableFuture<>();
		CompletableFuture<Finding> present = this.running.putIfAbsent(url, own);
		if (present != null) {
			return present;
		}
		own.whenComplete((finding, ex) -> this.running.remove(url, own));
		get(url + "/health")
			.thenCompose((health) -> (health.isEmpty() || health.equals(REFUSED))
					? CompletableFuture.completedFuture(health) : get(url + "/v1/load"))
			.thenAccept((body) -> own.complete(finding(body)));
		return own;
	}

	private static Finding finding(String body) {
		if (body.isEmpty() || body.equals(REFUSED)) {
			return new Finding(null, body.equals(REFUSED));
		}
		try {
			return new Finding(Json.mapper().readValue(body, LoadReport.class), false);
		}
		catch (IOException ex) {
			return new Finding(null, false);
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
	 * What a probe found.
	 *
	 * @param load the load report, or {@code null} if the endpoint did not answer
	 * @param refused whether the endpoint refused the connection
	 */
	record Finding(LoadReport load, boolean refused) {

		boolean answered() {
			return this.load != null;
		}

		/**
		 * Tells whether the endpoint neither runs nor queues an attempt. Load reports
		 * lag, so one that was taken before the attempt was sent says nothing about it.
		 * @param attempt the attempt
		 * @param sentAtMs when the attempt was sent
		 * @return {@code true} if a current report does not list the attempt
		 */
		boolean rulesOut(String attempt, long sentAtMs) {
			return this.load != null && this.load.reportedAtMs() >= sentAtMs && !this.load.attempts().contains(attempt);
		}

	}

}
