package org.fulmargap.ledger;

import java.io.IOException;
import java.time.Duration;
import java.util.Objects;

import com.fasterxml.jackson.databind.JsonNode;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.fulmargap.config.Json;

/**
 * Makes HTTP calls to the platform and parses the JSON responses.
 */
final class PlatformHttp {

	/**
	 * The timeout of one call. A healthy log responds in a few milliseconds, and requests
	 * have deadlines of a few seconds: a longer timeout would leave no time for a retry.
	 */
	private static final Duration CALL_TIMEOUT = Duration.ofMillis(800);

	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(300);

	private final OkHttpClient client;

	PlatformHttp(OkHttpClient client) {
		// Retries are left to the callers, which know whether a call is safe to repeat.
		this.client = Objects.requireNonNull(client, "client")
			.newBuilder()
			.connectTimeout(CONNECT_TIMEOUT)
			.callTimeout(CALL_TIMEOUT)
			.retryOnConnectionFailure(false)
			.build();
	}

	JsonNode call(Request request) throws IOException {
		try (Response response = this.client.newCall(request).execute()) {
			if (!response.isSuccessful()) {
				throw new IOException("the platform responded with HTTP status " + response.code());
			}
			return Json.mapper().readTree(response.body().byteStream());
		}
	}

}
