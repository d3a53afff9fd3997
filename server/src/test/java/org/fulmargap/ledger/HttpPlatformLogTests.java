package org.fulmargap.ledger;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import okhttp3.OkHttpClient;
import org.fulmargap.claim.ClaimKey;
import org.fulmargap.config.Json;
import org.fulmargap.request.Deadline;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against HTTP errors of the platform that are treated as valid responses, and
 * against appends that are reported as not sent although the log may have received them.
 */
class HttpPlatformLogTests {

	private final FakeLog fakeLog = new FakeLog(System::currentTimeMillis);

	private final ConcurrentLinkedQueue<String> requests = new ConcurrentLinkedQueue<>();

	private final OkHttpClient client = new OkHttpClient();

	private volatile int status = 200;

	private volatile CountDownLatch gate = new CountDownLatch(0);

	private HttpServer server;

	private String url;

	@BeforeEach
	void start() throws IOException {
		this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
		this.server.setExecutor(Executors.newCachedThreadPool());
		this.server.createContext("/", this::handle);
		this.server.start();
		this.url = "http://127.0.0.1:" + this.server.getAddress().getPort();
	}

	@AfterEach
	void stop() {
		this.gate.countDown();
		this.server.stop(0);
	}

	private void handle(HttpExchange exchange) throws IOException {
		this.requests.add(exchange.getRequestMethod() + " " + exchange.getRequestURI());
		byte[] body = exchange.getRequestBody().readAllBytes();
		try {
			this.gate.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		byte[] response = Json.mapper().writeValueAsBytes(responseTo(exchange, body));
		exchange.sendResponseHeaders(this.status, response.length);
		exchange.getResponseBody().write(response);
		exchange.close();
	}

	private synchronized Object responseTo(HttpExchange exchange, byte[] body) throws IOException {
		String path = exchange.getRequestURI().getPath();
		if (path.equals("/v1/vms")) {
			return Map.of("observed_at_ms", 1, "vms", List.of(Map.of("vm", "vm1", "state", "leaving")));
		}
		String stream = path.split("/")[3];
		if (exchange.getRequestMethod().equals("POST")) {
			return Map.of("offset", this.fakeLog.store(stream, Json.mapper().readTree(body)));
		}
		String from = exchange.getRequestURI().getQuery().replaceAll("from=(\\d+).*", "$1");
		return this.fakeLog.clientOf("vm").read(stream, Long.parseLong(from), 100);
	}

	@Nested
	class Log {

		@Test
		void storesAndReturnsRecords() throws IOException {
			PlatformLog log = new HttpPlatformLog(HttpPlatformLogTests.this.client, HttpPlatformLogTests.this.url);
			JsonNode value = Json.mapper().createObjectNode().put("a", 1);
			assertThat(log.append("claims", value)).isZero();
			assertThat(log.append("claims", value)).isEqualTo(1);
			LogPage page = log.read("claims", 1, 10);
			assertThat(page.nextOffset()).isEqualTo(2);
			assertThat(page.records()).singleElement().extracting(LogPage.Entry::value).isEqualTo(value);
			assertThat(HttpPlatformLogTests.this.requests).contains("GET /v1/log/claims/records?from=1&max=10");
		}

		@Test
		void throwsForAnErrorStatus() {
			PlatformLog log = new HttpPlatformLog(HttpPlatformLogTests.this.client, HttpPlatformLogTests.this.url);
			HttpPlatformLogTests.this.status = 503;
			assertThatExceptionOfType(IOException.class).isThrownBy(() -> log.read("claims", 0, 1));
		}

		@Test
		void throwsConnectExceptionOnlyForARefusedConnection() {
			PlatformLog log = new HttpPlatformLog(HttpPlatformLogTests.this.client, HttpPlatformLogTests.this.url);
			HttpPlatformLogTests.this.gate = new CountDownLatch(1);
			assertThatExceptionOfType(IOException.class)
				.isThrownBy(() -> log.append("claims", Json.mapper().createObjectNode()))
				.isNotInstanceOf(ConnectException.class);
			HttpPlatformLogTests.this.gate.countDown();
			HttpPlatformLogTests.this.server.stop(0);
			assertThatExceptionOfType(ConnectException.class)
				.isThrownBy(() -> log.append("claims", Json.mapper().createObjectNode()));
		}

	}

	@Nested
	class Directory {

		@Test
		void returnsTheStateOfEachVm() throws IOException {
			VmDirectory directory = new HttpVmDirectory(HttpPlatformLogTests.this.client,
					HttpPlatformLogTests.this.url);
			assertThat(directory.read()).containsExactly(Map.entry("vm1", VmDirectory.VmState.LEAVING));
		}

	}

	@Nested
	class Services {

		@Test
		void claimOverHttpInTheirOwnThreads() throws Exception {
			PlatformLog log = new HttpPlatformLog(HttpPlatformLogTests.this.client, HttpPlatformLogTests.this.url);
			ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();
			TimerQueue timers = (delayMs, task) -> executor.schedule(task, delayMs, TimeUnit.MILLISECONDS);
			ServiceIdentity identity = new ServiceIdentity("vm1", "vm1-1", "d");
			MetricRegistry metrics = new MetricRegistry();
			CountDownLatch joined = new CountDownLatch(1);
			try (LogConfigService config = new LogConfigService(log, identity, ConfigSettings.of(3_000, 60_000),
					System::currentTimeMillis, timers, metrics);
					LogClaimService claims = new LogClaimService(log, () -> null, config, identity, 3_600_000,
							System::currentTimeMillis, timers, metrics)) {
				config.onChange((state) -> {
					if (state.isMember("vm1", "vm1-1")) {
						joined.countDown();
					}
				});
				config.start();
				claims.start();
				assertThat(joined.await(5, TimeUnit.SECONDS)).isTrue();
				for (int i = 0; i < 20; i++) {
					assertThat(claims
						.claim(new ClaimKey("a", "k" + i), "d", "vm1-1/" + i,
								Deadline.after(System.currentTimeMillis(), 5_000))
						.get(5, TimeUnit.SECONDS)).isInstanceOf(ClaimService.Result.Owned.class);
				}
			}
			finally {
				executor.shutdownNow();
			}
		}

	}

}
