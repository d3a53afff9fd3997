package org.fulmargap.ledger;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

import com.fasterxml.jackson.databind.JsonNode;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import org.fulmargap.config.Json;

/**
 * HTTP client of the platform's list of VMs.
 */
public final class HttpVmDirectory implements VmDirectory {

	private final PlatformHttp http;

	private final HttpUrl url;

	/**
	 * Creates a client.
	 * @param client the HTTP client whose threads and connections are used
	 * @param baseUrl the base URL of the platform, for example
	 * {@code http://127.0.0.1:7000}
	 */
	public HttpVmDirectory(OkHttpClient client, String baseUrl) {
		this.http = new PlatformHttp(client);
		this.url = HttpUrl.get(Objects.requireNonNull(baseUrl, "baseUrl"))
			.newBuilder()
			.addPathSegments("v1/vms")
			.build();
	}

	@Override
	public Map<String, VmState> read() throws IOException {
		JsonNode response = this.http.call(new Request.Builder().url(this.url).build());
		Map<String, VmState> vms = new HashMap<>();
		for (JsonNode vm : response.path("vms")) {
			vms.put(vm.path("vm").asText(), Json.mapper().treeToValue(vm.path("state"), VmState.class));
		}
		return Map.copyOf(vms);
	}

}
