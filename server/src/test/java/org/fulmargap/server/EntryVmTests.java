package org.fulmargap.server;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import org.fulmargap.config.Json;
import org.fulmargap.endpoint.FakeEndpoint;
import org.fulmargap.endpoint.Waiting;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

/**
 * Guards against an entry VM that reports readiness too early, stops before running
 * requests have ended, or does not report why it cannot start.
 */
class EntryVmTests {

	private final HttpClient http = HttpClient.newHttpClient();

	private FakePlatform platform;

	private FakeEndpoint endpoint;

	private final CountDownLatch release = new CountDownLatch(1);

	private EntryVm vm;

	private final List<EntryVm> started = new ArrayList<>();

	@BeforeEach
	void start() throws Exception {
		this.platform = new FakePlatform();
		this.endpoint = new FakeEndpoint((request, reply) -> {
			this.release.await();
			reply.output(request, "fine");
		});
		this.vm = create(settings(0, 0));
		this.vm.start();
	}

	@AfterEach
	void stop() throws IOException {
		this.release.countDown();
		this.started.forEach(EntryVm::close);
		this.endpoint.close();
		this.platform.close();
	}

	private EntryVm create(Settings settings) {
		EntryVm created = DaggerServerComponent.factory().create(settings).entryVm();
		this.started.add(created);
		return created;
	}

	private Settings settings(int callerPort, int adminPort) throws Exception {
		String url = "http://127.0.0.1:" + this.platform.port();
		return SettingsFile.parse("{\"vm\":\"v1\",\"failure_domain\":\"d1\",\"caller_address\":\"127.0.0.1:"
				+ callerPort + "\",\"admin_address\":\"127.0.0.1:" + adminPort + "\",\"peer_address\":\"127.0.0.1:"
				+ freePort() + "\",\"platform_log_url\":\"" + url + "\",\"platform_vms_url\":\"" + url
				+ "\",\"drain_notice_ms\":200,\"drain_limit_ms\":5000}");
	}

	private static int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			return socket.getLocalPort();
		}
	}

	private HttpResponse<String> admin(String method, String path, String body) {
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + this.vm.adminPort() + path))
			.method(method, HttpRequest.BodyPublishers.ofString(body))
			.build();
		return this.http.sendAsync(request, HttpResponse.BodyHandlers.ofString()).join();
	}

	private int readyStatus() {
		return admin("GET", "/health/ready", "").statusCode();
	}

	private void configure() throws Exception {
		Waiting.until(() -> readyStatus() == 200);
		String digest = HexFormat.of()
			.formatHex(MessageDigest.getInstance("SHA-256").digest("secret".getBytes(StandardCharsets.UTF_8)));
		HttpResponse<String> response = admin("POST", "/v1/config/patches",
				"{\"patch_id\":\"p1\",\"expected_version\":0,\"merge_patch\":{\"accounts\":{\"a\":{\"api_key_sha256\":\""
						+ digest
						+ "\",\"weight\":1}},\"endpoints\":{\"e1\":{\"service\":\"s\",\"failure_domain\":\"d1\","
						+ "\"url\":\"" + this.endpoint.url()
						+ "\",\"max_concurrency\":4}},\"pipelines\":{\"look\":{\"idempotent\":true,\"deadline_ms\":5000,"
						+ "\"stages\":[{\"name\":\"x\",\"kind\":\"encode\",\"service\":\"s\",\"max_tokens\":0}]}}}}");
		assertThat(response.statusCode()).as(response.body()).isEqualTo(200);
	}

	private CompletableFuture<HttpResponse<String>> sendRequest() {
		HttpRequest request = HttpRequest
			.newBuilder(URI.create("http://127.0.0.1:" + this.vm.callerPort() + "/v1/pipelines/look/requests"))
			.header("Authorization", "Bearer secret")
			.POST(HttpRequest.BodyPublishers.ofString("{\"input\":\"a\"}"))
			.build();
		return this.http.sendAsync(request, HttpResponse.BodyHandlers.ofString());
	}

	@Nested
	class Start {

		@Test
		void portInUseIsReportedWithTheNameOfTheField() throws Exception {
			EntryVm second = create(settings(EntryVmTests.this.vm.callerPort(), 0));
			SettingsException ex = catchThrowableOfType(SettingsException.class, second::start);
			assertThat(ex.getMessage()).startsWith("settings: field 'caller_address': 127.0.0.1:");
		}

		@Test
		void entryVmWithoutLogAndPeersIsNotReady() throws Exception {
			EntryVmTests.this.platform.down = true;
			EntryVmTests.this.vm.close();
			EntryVmTests.this.vm = create(settings(0, 0));
			EntryVmTests.this.vm.start();
			assertThat(admin("GET", "/health/ready", "").body()).contains("CONFIG_UNKNOWN");
			EntryVmTests.this.platform.down = false;
			Waiting.until(() -> readyStatus() == 200);
		}

	}

	@Nested
	class Operators {

		@Test
		void decisionsOrdersMembersAndMetricsCanBeRead() throws Exception {
			configure();
			assertThat(admin("GET", "/v1/config/patches/p1", "").body()).contains("\"accepted\":true");
			assertThat(admin("GET", "/v1/config/patches/p2", "").statusCode()).isEqualTo(404);
			assertThat(admin("PUT", "/v1/endpoints/e1/state", "{\"state\":\"OUT\"}").body())
				.contains("\"in_force\":true");
			assertThat(admin("GET", "/v1/members", "").body()).contains("\"vm\":\"v1\"", "\"state\":\"OUT\"");
			assertThat(admin("GET", "/metrics", "").body()).contains("\"invariant_violations\":0");
			assertThat(admin("GET", "/v1/timeline?config_version=1", "").body()).contains("CONFIG_IN_FORCE");
		}

		@Test
		void invalidInputIsRejectedWithAnErrorType() {
			assertThat(admin("PUT", "/v1/endpoints/e1/state", "{\"state\":\"AWAY\"}").statusCode()).isEqualTo(400);
			assertThat(admin("POST", "/v1/config/patches", "{").body()).contains("MALFORMED_REQUEST");
			assertThat(admin("GET", "/v1/timeline?config_version=x", "").body()).contains("VERSION_INVALID");
			assertThat(admin("GET", "/nothing", "").body()).contains("UNKNOWN_PATH");
		}

	}

	@Nested
	class Shutdown {

		@Test
		void runningRequestCompletesAndNewOnesAreAcceptedDuringTheNoticeTime() throws Exception {
			configure();
			CompletableFuture<HttpResponse<String>> running = sendRequest();
			Waiting.until(() -> !EntryVmTests.this.endpoint.stages().isEmpty());
			CompletableFuture<Void> drained = CompletableFuture.runAsync(EntryVmTests.this.vm::drain);
			Waiting.until(() -> readyStatus() == 503);
			CompletableFuture<HttpResponse<String>> duringNotice = sendRequest();
			Waiting.sleep(400);
			HttpResponse<String> afterNotice = sendRequest().join();
			assertThat(afterNotice.statusCode()).isEqualTo(503);
			assertThat(afterNotice.body()).contains("\"NOT_RUN\"", "DRAINING");
			assertThat(drained).isNotDone();
			EntryVmTests.this.release.countDown();
			assertThat(running.join().statusCode()).isEqualTo(200);
			assertThat(duringNotice.join().statusCode()).isEqualTo(200);
			drained.join();
			assertThat(EntryVmTests.this.platform.hasRecord("leave")).isTrue();
		}

	}

	/**
	 * In-memory log and VM list, served over HTTP.
	 */
	private static final class FakePlatform implements AutoCloseable {

		private final HttpServer server;

		private final java.util.Map<String, ArrayNode> streams = new java.util.concurrent.ConcurrentHashMap<>();

		private volatile boolean down;

		FakePlatform() throws IOException {
			this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 50);
			this.server.createContext("/v1/log/", this::log);
			this.server.createContext("/v1/vms",
					(exchange) -> respond(exchange, Json.mapper().readTree("{\"observed_at_ms\":0,\"vms\":[]}")));
			this.server.start();
		}

		int port() {
			return this.server.getAddress().getPort();
		}

		synchronized boolean hasRecord(String text) {
			return this.streams.get("config").toString().contains(text);
		}

		private synchronized void log(HttpExchange exchange) throws IOException {
			ArrayNode records = this.streams.computeIfAbsent(exchange.getRequestURI().getPath().split("/")[3],
					(name) -> Json.mapper().createArrayNode());
			if (exchange.getRequestMethod().equals("POST")) {
				ObjectNode entry = records.addObject().put("offset", records.size() - 1).put("appended_at_ms", 0);
				entry.set("value", Json.mapper().readTree(exchange.getRequestBody()));
				respond(exchange, Json.mapper().createObjectNode().put("offset", records.size() - 1));
				return;
			}
			int from = Integer.parseInt(exchange.getRequestURI().getQuery().replaceAll(".*from=(\\d+).*", "$1"));
			ObjectNode page = Json.mapper()
				.createObjectNode()
				.put("first_offset", 0)
				.put("next_offset", records.size());
			ArrayNode part = page.putArray("records");
			for (int i = from; i < records.size(); i++) {
				part.add(records.get(i));
			}
			respond(exchange, page);
		}

		private void respond(HttpExchange exchange, JsonNode node) throws IOException {
			byte[] bytes = node.toString().getBytes(StandardCharsets.UTF_8);
			exchange.sendResponseHeaders(this.down ? 500 : 200, bytes.length);
			exchange.getResponseBody().write(bytes);
			exchange.close();
		}

		@Override
		public void close() {
			this.server.stop(0);
		}

	}

}
