package org.fulmargap.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import com.sun.net.httpserver.HttpServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against exit codes and output that misreport the outcome of a command.
 */
class FulmargapCtlTests {

	private final Map<String, CannedResponse> responses = new HashMap<>();

	private final List<String> requests = new ArrayList<>();

	private final StringWriter out = new StringWriter();

	private final StringWriter err = new StringWriter();

	private HttpServer server;

	private String admin;

	@TempDir
	private Path directory;

	@BeforeEach
	void start() throws IOException {
		this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
		this.server.createContext("/", (exchange) -> {
			String request = exchange.getRequestMethod() + " " + exchange.getRequestURI().getRawPath();
			this.requests
				.add(request + " " + new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8));
			CannedResponse response = this.responses.getOrDefault(request, new CannedResponse(500, ""));
			byte[] body = response.body().replace('\'', '"').getBytes(StandardCharsets.UTF_8);
			exchange.sendResponseHeaders(response.status(), (body.length > 0) ? body.length : -1);
			exchange.getResponseBody().write(body);
			exchange.close();
		});
		this.server.start();
		this.admin = "127.0.0.1:" + this.server.getAddress().getPort();
	}

	@AfterEach
	void stop() {
		this.server.stop(0);
	}

	private int run(String... args) {
		List<String> line = new ArrayList<>(List.of("--admin", this.admin));
		line.addAll(Arrays.asList(args));
		return runRaw(line.toArray(String[]::new));
	}

	private int runRaw(String... args) {
		CommandLine commandLine = FulmargapCtl.commandLine();
		return commandLine.setOut(new PrintWriter(this.out, true))
			.setErr(new PrintWriter(this.err, true))
			.execute(args);
	}

	private int patch() throws IOException {
		Path file = Files.writeString(this.directory.resolve("patch.json"), "{\"accounts\":{}}");
		return run("patch", "--expected-version", "3", "--file", file.toString(), "--patch-id", "p1");
	}

	private static String unusedAddress() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			return "127.0.0.1:" + socket.getLocalPort();
		}
	}

	private record CannedResponse(int status, String body) {
	}

	@Nested
	class Patches {

		private static final String PATH = "POST /v1/config/patches";

		@Test
		void printTheAcceptedVersion() throws IOException {
			FulmargapCtlTests.this.responses.put(PATH,
					new CannedResponse(200, "{'accepted':true,'version':4,'refusal':null}"));
			assertThat(patch()).isZero();
			assertThat(FulmargapCtlTests.this.out)
				.hasToString("accepted version=4 patch_id=p1" + System.lineSeparator());
			assertThat(FulmargapCtlTests.this.requests).containsExactly(
					PATH + " {\"patch_id\":\"p1\",\"expected_version\":3,\"merge_patch\":{\"accounts\":{}}}");
		}

		@Test
		void printTheRefusalType() throws IOException {
			FulmargapCtlTests.this.responses.put(PATH, new CannedResponse(503,
					"{'accepted':false,'version':3,'refusal':'NOT_ACKNOWLEDGED','message':'vm-2'}"));
			assertThat(patch()).isEqualTo(1);
			assertThat(FulmargapCtlTests.this.err.toString().lines())
				.containsExactly("fulmargapctl: refused: NOT_ACKNOWLEDGED version=3 patch_id=p1: vm-2");
		}

		@Test
		void exitWithFourWhenTheDecisionIsUnknown() throws IOException {
			FulmargapCtlTests.this.responses.put(PATH, new CannedResponse(502,
					"{'accepted':false,'version':3,'refusal':'DECISION_UNKNOWN','message':'m'}"));
			assertThat(patch()).isEqualTo(4);
		}

		@Test
		void exitWithFourWhenTheResponseIsLostAndAreNotSentToAnotherVm() throws Exception {
			try (ServerSocket dropping = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
				CompletableFuture<Void> closing = CompletableFuture.runAsync(() -> {
					try (Socket socket = dropping.accept()) {
						socket.getInputStream().read();
					}
					catch (IOException ex) {
						throw new IllegalStateException(ex);
					}
				});
				String reachable = FulmargapCtlTests.this.admin;
				FulmargapCtlTests.this.admin = "127.0.0.1:" + dropping.getLocalPort();
				Path file = Files.writeString(FulmargapCtlTests.this.directory.resolve("p.json"), "{}");
				assertThat(run("--admin", reachable, "patch", "--expected-version", "3", "--file", file.toString()))
					.isEqualTo(4);
				closing.join();
				assertThat(FulmargapCtlTests.this.requests).isEmpty();
			}
		}

	}

	@Nested
	class Orders {

		private static final String PATH = "PUT /v1/failure-domains/gent-a/state";

		@Test
		void goToTheFirstReachableVmAndPrintConfirmations() throws IOException {
			FulmargapCtlTests.this.responses.put(PATH,
					new CannedResponse(200, "{'in_force':true,'confirmed':['a','b'],'not_confirmed':[]}"));
			String reachable = FulmargapCtlTests.this.admin;
			FulmargapCtlTests.this.admin = unusedAddress();
			assertThat(run("--admin", reachable, "take-out", "failure-domain", "gent-a")).isZero();
			assertThat(FulmargapCtlTests.this.out.toString()).contains("in_force=true confirmed=a,b not_confirmed=");
			assertThat(FulmargapCtlTests.this.requests).containsExactly(PATH + " {\"state\":\"OUT\"}");
		}

		@Test
		void exitWithFourWhenAVmDidNotConfirm() {
			FulmargapCtlTests.this.responses.put(PATH,
					new CannedResponse(200, "{'in_force':false,'confirmed':['a'],'not_confirmed':['b']}"));
			assertThat(run("bring-back", "failure-domain", "gent-a")).isEqualTo(4);
			assertThat(FulmargapCtlTests.this.out.toString()).contains("confirmed=a not_confirmed=b");
		}

		@Test
		void refuseAnUnknownKindBeforeAnythingIsSent() {
			assertThat(run("take-out", "rack", "r1")).isEqualTo(2);
			assertThat(FulmargapCtlTests.this.requests).isEmpty();
		}

		@Test
		void exitWithOneWhenTheEvictionWasNotRecorded() {
			FulmargapCtlTests.this.responses.put("GET /v1/members",
					new CannedResponse(200, "{'members':[{'vm':'b','joined':true},{'vm':'c','joined':false}]}"));
			assertThat(run("evict", "c")).isEqualTo(1);
			assertThat(run("evict", "d")).isEqualTo(1);
			FulmargapCtlTests.this.responses.put("POST /v1/members/b/evict",
					new CannedResponse(503, "{'evicted':false}"));
			assertThat(run("evict", "b")).isEqualTo(1);
			FulmargapCtlTests.this.responses.put("POST /v1/members/b/evict",
					new CannedResponse(200, "{'evicted':true}"));
			assertThat(run("evict", "b")).isZero();
		}

	}

	@Nested
	class Reads {

		@Test
		void exitWithThreeWhenNothingIsReachable() throws IOException {
			FulmargapCtlTests.this.admin = unusedAddress();
			assertThat(run("config")).isEqualTo(3);
			assertThat(FulmargapCtlTests.this.err.toString().lines()).hasSize(1);
		}

		@Test
		void mergeEventsOfVmsAndLogFilesByTimeWithoutDuplicates() throws IOException {
			FulmargapCtlTests.this.responses.put("GET /v1/timeline", new CannedResponse(200,
					"{'events':[{'at_ms':2000,'vm':'a','type':'STAGE_ANSWERED','request_id':'a-1/7','config_version':3,"
							+ "'fields':{'stage':'rank','attempt':{'incarnation':'a-1','requestNumber':7,'stageIndex':0,"
							+ "'attempt':0},'endpoint':'e1','duration_ms':12}}]}"));
			Path log = Files.writeString(FulmargapCtlTests.this.directory.resolve("vm.log"), """
					not a line of events
					at=1970-01-01T00:00:02.003Z level=INFO logger=Timeline event=STAGE_ANSWERED vm=a request_id=a-1/7 \
					config_version=3 stage=rank attempt=a-1/7/0/0 endpoint=e1 duration_ms=12
					at=1970-01-01T00:00:01.000Z level=INFO logger=Timeline event=STAGE_FAILED vm=a request_id=a-1/7 \
					config_version=3 stage=rank attempt=1 endpoint=e0 failure=TIMED_OUT detail="a \\"b\\" c"
					at=1970-01-01T00:00:01.000Z level=INFO logger=Timeline event=STAGE_FAILED vm=a request_id=a-1/8 x=1
					""");
			assertThat(run("timeline", "--request-id", "a-1/7", "--log-file", log.toString())).isZero();
			assertThat(FulmargapCtlTests.this.out.toString().lines()).containsExactly(
					"at=1970-01-01T00:00:01Z vm=a event=STAGE_FAILED request_id=a-1/7 config_version=3 stage=rank "
							+ "attempt=1 endpoint=e0 failure=TIMED_OUT detail=\"a \\\"b\\\" c\"",
					"at=1970-01-01T00:00:02Z vm=a event=STAGE_ANSWERED request_id=a-1/7 config_version=3 stage=rank "
							+ "attempt=a-1/7/0/0 endpoint=e1 duration_ms=12");
			assertThat(run("explain-request", "a-1/7")).isZero();
			assertThat(FulmargapCtlTests.this.out.toString()).containsPattern("rank +e1 +0 +12  answered");
		}

		@Test
		void printTheVersionThatWasReceivedLast() throws IOException {
			FulmargapCtlTests.this.responses.put("GET /v1/members", new CannedResponse(200,
					"{'members':[{'vm':'a','config_version':7,'alive':true,'joined':true,'last_heard_at_ms':0}]}"));
			assertThat(run("--admin", unusedAddress(), "versions")).isZero();
			assertThat(FulmargapCtlTests.this.out.toString().lines())
				.containsExactly("vm=a version=7 alive=true joined=true last_heard_at=1970-01-01T00:00:00Z");
			assertThat(FulmargapCtlTests.this.err.toString().lines()).hasSize(1);
		}

		@Test
		void exitWithOneWhenARequestIsUnknown() {
			FulmargapCtlTests.this.responses.put("GET /v1/timeline", new CannedResponse(200, "{'events':[]}"));
			assertThat(run("explain-request", "x/1")).isEqualTo(1);
		}

	}

	@Nested
	class Usage {

		@Test
		void errorsAreOneLineWithExitCodeTwo() {
			assertThat(runRaw("config")).isEqualTo(2);
			assertThat(runRaw("--admin", "localhost", "config")).isEqualTo(2);
			assertThat(run("patch")).isEqualTo(2);
			assertThat(run("timeline")).isEqualTo(2);
			assertThat(FulmargapCtlTests.this.err.toString().lines()).hasSize(4)
				.allMatch((line) -> line.startsWith("fulmargapctl: "));
		}

	}

}
