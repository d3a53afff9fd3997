package org.fulmargap.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.URI;
import java.net.UnknownHostException;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.Headers;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/**
 * HTTP client that refuses targets other than loopback addresses. It sends each request
 * once and reports lost responses as failures; it does not retry.
 */
public final class LoopbackClient implements AutoCloseable {

	private static final MediaType JSON = MediaType.get("application/json");

	private final OkHttpClient client;

	/**
	 * Creates a client.
	 * @param timeout the time after which a request fails
	 * @param maxConcurrent the maximum number of asynchronous requests in flight
	 */
	public LoopbackClient(Duration timeout, int maxConcurrent) {
		Dispatcher dispatcher = new Dispatcher();
		dispatcher.setMaxRequests(maxConcurrent);
		dispatcher.setMaxRequestsPerHost(maxConcurrent);
		this.client = new OkHttpClient.Builder().dispatcher(dispatcher)
			.connectionPool(new ConnectionPool(maxConcurrent, 60, TimeUnit.SECONDS))
			.callTimeout(timeout)
			.readTimeout(timeout)
			.retryOnConnectionFailure(false)
			.followRedirects(false)
			.build();
	}

	/**
	 * Checks that a URL points to a loopback address.
	 * @param url an HTTP URL
	 * @return the URL without a final slash
	 * @throws IllegalArgumentException if the host is not a loopback address
	 */
	public static String requireLoopback(String url) {
		String host = URI.create(url).getHost();
		try {
			if (host != null && InetAddress.getByName(host).isLoopbackAddress()) {
				return url.endsWith("/") ? url.substring(0, url.length() - 1) : url;
			}
		}
		catch (UnknownHostException ex) {
			throw new IllegalArgumentException("unknown host in " + url, ex);
		}
		throw new IllegalArgumentException("only loopback addresses are allowed: " + url);
	}

	/**
	 * Sends a request and waits for the response.
	 * @param method the HTTP method
	 * @param url the URL
	 * @param headers the headers
	 * @param body the JSON body, or {@code null} for none
	 * @return the response, of any status
	 * @throws IOException if there is no complete response
	 */
	public Answer send(String method, String url, Map<String, String> headers, Object body) throws IOException {
		try (Response response = call(method, url, headers, body).execute()) {
			return Answer.of(response);
		}
	}

	/**
	 * Sends a request without headers and waits for the response.
	 * @param method the HTTP method
	 * @param url the URL
	 * @param body the JSON body, or {@code null} for none
	 * @return the response, of any status
	 * @throws IOException if there is no complete response
	 */
	public Answer send(String method, String url, Object body) throws IOException {
		return send(method, url, Map.of(), body);
	}

	/**
	 * Sends a request without waiting for the response.
	 * @param method the HTTP method
	 * @param url the URL
	 * @param headers the headers
	 * @param body the JSON body, or {@code null} for none
	 * @return a future with the response, or with the {@link IOException} if there is no
	 * complete response
	 */
	public CompletableFuture<Answer> sendAsync(String method, String url, Map<String, String> headers, Object body) {
		CompletableFuture<Answer> future = new CompletableFuture<>();
		call(method, url, headers, body).enqueue(new Callback() {
			@Override
			public void onFailure(Call call, IOException failure) {
				future.completeExceptionally(failure);
			}

			@Override
			public void onResponse(Call call, Response response) {
				try (response) {
					future.complete(Answer.of(response));
				}
				catch (IOException ex) {
					future.completeExceptionally(ex);
				}
			}
		});
		return future;
	}

	private Call call(String method, String url, Map<String, String> headers, Object body) {
		byte[] bytes = (body != null) ? Exchange.json(body) : "POST".equals(method) ? new byte[0] : null;
		return this.client.newCall(new Request.Builder().url(requireLoopback(url))
			.headers(Headers.of(headers))
			.method(method, (bytes != null) ? RequestBody.create(bytes, JSON) : null)
			.build());
	}

	/** Closes the idle connections. */
	public void closeIdleConnections() {
		this.client.connectionPool().evictAll();
	}

	@Override
	public void close() {
		ExecutorService executor = this.client.dispatcher().executorService();
		this.client.dispatcher().cancelAll();
		executor.shutdown();
		this.client.connectionPool().evictAll();
	}

	/**
	 * A complete HTTP response.
	 *
	 * @param status the HTTP status
	 * @param headers the headers; names are not case-sensitive
	 * @param body the body as text
	 */
	public record Answer(int status, Map<String, String> headers, String body) {

		static Answer of(Response response) throws IOException {
			Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
			response.headers().forEach((header) -> headers.put(header.getFirst(), header.getSecond()));
			return new Answer(response.code(), headers, response.body().string());
		}

		/**
		 * Parses the body.
		 * @return the JSON value
		 * @throws IOException if the body is not JSON
		 */
		public JsonNode json() throws IOException {
			return Json.MAPPER.readTree(this.body);
		}

		/**
		 * Returns the type of an error response.
		 * @return the type, or an empty string if the body contains none
		 */
		public String errorType() {
			try {
				return json().path("error").path("type").asText();
			}
			catch (IOException ex) {
				return "";
			}
		}

	}

}
