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

	private static final int STANDING_TRIES = 3;

	private static final long STANDING_PAUSE_MS = 50;

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
			.thenCompose((health) -> health.isEmpty() ? CompletableFuture.completedFuture("") : get(url + "/v1/load"))
			.thenAccept((body) -> own.complete(finding(body)));
		return own;
	}

	/**
	 * Finds out whether an endpoint still runs after a connection to it broke. A crash
	 * may close connections a moment before the endpoint stops listening, so an endpoint
	 * that gives no answer is asked again.
	 * @param url the base URL of the endpoint
	 * @return what the endpoint answered, after at most 600 ms
	 */
	Standing standing(String url) {
		Request request = new Request.Builder().url(url + "/v1/load").build();
		for (int tries = 0; tries < STANDING_TRIES; tries++) {
			try (Response response = this.client.newCall(request).execute()) {
				LoadReport report = finding(response.peekBody(1 << 20).string()).load();
				if (response.isSuccessful() && report != null) {
					return new Standing(false, report.incarnation(),
							Boolean.parseBoolean(response.header(EndpointHeaders.LEAVING)));
				}
			}
			catch (ConnectException ex) {
				return new Standing(true, "", false);
			}
			catch (IOException ex) {
				// No answer yet; asked again below.
			}
			try {
				TimeUnit.MILLISECONDS.sleep(STANDING_PAUSE_MS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				break;
			}
		}
		return new Standing(false, "", false);
	}

	private static Finding finding(String body) {
		if (body.isEmpty()) {
			return new Finding(null);
		}
		try {
			return new Finding(Json.mapper().readValue(body, LoadReport.class));
		}
		catch (IOException ex) {
			return new Finding(null);
		}
	}

	private CompletableFuture<String> get(String url) {
		CompletableFuture<String> body = new CompletableFuture<>();
		this.client.newCall(new Request.Builder().url(url).build()).enqueue(new Callback() {

			@Override
			public void onFailure(Call call, IOException ex) {
				body.complete("");
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
	 * State of an endpoint after a connection to it broke.
	 *
	 * @param refused whether it refuses connections
	 * @param incarnation the incarnation that it reported, or empty
	 * @param leaving whether it reported that it is leaving
	 */
	record Standing(boolean refused, String incarnation, boolean leaving) {
	}

	/**
	 * What a probe found.
	 *
	 * @param load the load report, or {@code null} if the endpoint did not answer
	 */
	record Finding(LoadReport load) {

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
