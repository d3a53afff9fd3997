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
 * HTTP calls to the platform.
 */
final class PlatformHttp {

	/**
	 * The longest time for one call. The log answers in a few milliseconds when it works,
	 * and requests have deadlines of a few seconds, so that a longer wait would not leave
	 * time for another try.
	 */
	private static final Duration CALL_TIMEOUT = Duration.ofMillis(800);

	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(300);

	private final OkHttpClient client;

	PlatformHttp(OkHttpClient client) {
		// Repeats are left to the callers, which know whether a repeat is harmless.
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
				throw new IOException("the platform answered with status " + response.code());
			}
			return Json.mapper().readTree(response.body().byteStream());
		}
	}

}
