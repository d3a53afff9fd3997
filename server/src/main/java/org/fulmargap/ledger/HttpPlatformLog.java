package org.fulmargap.ledger;

import java.io.IOException;
import java.util.Objects;

import com.fasterxml.jackson.databind.JsonNode;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import org.fulmargap.config.Json;

/**
 * HTTP client of the platform's log.
 */
public final class HttpPlatformLog implements PlatformLog {

	private static final MediaType JSON = MediaType.get("application/json");

	private final PlatformHttp http;

	private final HttpUrl baseUrl;

	/**
	 * Creates a client.
	 * @param client the HTTP client whose threads and connections are used
	 * @param baseUrl the base URL of the platform, for example
	 * {@code http://127.0.0.1:7000}
	 */
	public HttpPlatformLog(OkHttpClient client, String baseUrl) {
		this.http = new PlatformHttp(client);
		this.baseUrl = HttpUrl.get(Objects.requireNonNull(baseUrl, "baseUrl"));
	}

	@Override
	public long append(String stream, JsonNode value) throws IOException {
		RequestBody body = RequestBody.create(Json.mapper().writeValueAsBytes(value), JSON);
		JsonNode response = this.http.call(new Request.Builder().url(records(stream).build()).post(body).build());
		JsonNode offset = response.path("offset");
		if (!offset.isIntegralNumber()) {
			throw new IOException("the response to the append has no offset");
		}
		return offset.asLong();
	}

	@Override
	public LogPage read(String stream, long fromOffset, int maxRecords) throws IOException {
		HttpUrl url = records(stream).addQueryParameter("from", Long.toString(fromOffset))
			.addQueryParameter("max", Integer.toString(maxRecords))
			.build();
		return Json.mapper().treeToValue(this.http.call(new Request.Builder().url(url).build()), LogPage.class);
	}

	private HttpUrl.Builder records(String stream) {
		return this.baseUrl.newBuilder().addPathSegments("v1/log").addPathSegment(stream).addPathSegment("records");
	}

}
