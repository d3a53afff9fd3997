package org.fulmargap.entry;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.fulmargap.platform.standin.CallerWire;
import org.fulmargap.platform.standin.EndpointStandIn;
import org.fulmargap.platform.standin.StoreStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against streams that go on at another software version at a VM that missed that
 * endpoints of it joined, because it was cut off or stood still.
 */
class MissedStreamVersionTests {

	private static final int OK = 200;

	private static final int UNAVAILABLE = 503;

	private static final int MAX_STREAMS = 200;

	private static final long PAUSE_MS = 20;

	private static boolean ran(EndpointStandIn engine, String attemptId) {
		String name = CallerWire.ATTEMPT_ID.toLowerCase(Locale.ROOT);
		return engine.requests().stream().anyMatch((headers) -> attemptId.equals(headers.get(name)));
	}

	private static void join(EndpointStandIn newer, StoreStandIn store) {
		String record = newer.record("pool", "a", "ready").replace("\"v1\"", "\"v2\"");
		store.put(CallerWire.ENDPOINT_TOPIC, "pool-2", record);
	}

	@Nested
	class CutOff {

		private static final int IN_TOUCH = 0;

		private static final int OUT_OF_TOUCH = 1;

		private static final int STREAMS = 8;

		/** Until the links between the VMs lead through the forwarders. */
		private static final long SETTLE_MS = 1_500;

		private static final Pattern MEMBER = Pattern.compile("127\\.0\\.0\\.1:[0-9]{5}(?= a )");

		private final Map<String, TcpForwarder> peerPaths = new ConcurrentHashMap<>();

		private final LogLines log = new LogLines();

		private Installation installation;

		private EndpointStandIn older;

		private EndpointStandIn newer;

		private TcpForwarder storePath;

		@BeforeEach
		void start() throws Exception {
			this.installation = new Installation();
			this.older = this.installation.endpoint("pool-1", "pool");
			this.newer = new EndpointStandIn("pool-2");
			this.storePath = new TcpForwarder(TcpForwarder.address("127.0.0.1:0"),
					TcpForwarder.address(this.installation.store().address()));
			this.installation.store().filterAppends(this::withForwarder);
			this.installation.vm("vm-0");
			this.installation.vm("vm-1", this.storePath.address());
			this.installation.awaitReady();
			this.log.await("peer_heard", "peer=vm-0");
			this.log.await("peer_heard", "peer=vm-1");
			Thread.sleep(SETTLE_MS);
			// What the VM reads because of its start does not cover what it misses later.
			assertThat(takeUp("before", "unknown")).isEqualTo(OK);
		}

		@AfterEach
		void stop() throws Exception {
			this.installation.close();
			this.newer.close();
			this.log.close();
			this.storePath.close();
			for (TcpForwarder path : this.peerPaths.values()) {
				path.close();
			}
		}

		// All ports have five digits, so that the length of the record stays.
		private String withForwarder(String record) {
			Matcher member = MEMBER.matcher(record);
			return member
				.replaceAll((match) -> this.peerPaths.computeIfAbsent(match.group(), this::forwarder).address());
		}

		private TcpForwarder forwarder(String address) {
			try {
				return new TcpForwarder(TcpForwarder.address("127.0.0.1:0"), TcpForwarder.address(address));
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
		}

		private void peerLinks(TcpForwarder.Mode mode) throws IOException {
			for (TcpForwarder path : this.peerPaths.values()) {
				path.mode(mode);
			}
		}

		private void cut() throws Exception {
			peerLinks(TcpForwarder.Mode.CUT);
			this.storePath.mode(TcpForwarder.Mode.CUT);
			this.log.await("peer_lost", "peer=vm-0 reason=silent");
		}

		private void heal() throws IOException {
			peerLinks(TcpForwarder.Mode.FORWARD);
			this.storePath.mode(TcpForwarder.Mode.FORWARD);
		}

		private HttpRequest.Builder stream(int vm, String attemptId) {
			return this.installation.attempt(vm, "/stream/x").setHeader(CallerWire.ATTEMPT_ID, attemptId);
		}

		private int takeUp(String attemptId, String resumed) throws IOException, InterruptedException {
			HttpRequest.Builder continuation = stream(OUT_OF_TOUCH, attemptId).header("Resumes", resumed)
				.header("Last-Event-Id", "2");
			return this.installation.send(continuation).statusCode();
		}

		private String beginAtNewer() throws Exception {
			join(this.newer, this.installation.store());
			for (int i = 0; i < MAX_STREAMS; i++) {
				this.installation.send(stream(IN_TOUCH, "begun" + i));
				if (ran(this.newer, "begun" + i)) {
					return "begun" + i;
				}
				Thread.sleep(PAUSE_MS);
			}
			throw new AssertionError("no stream began at the newer version");
		}

		@Test
		void aStreamDoesNotGoOnAtAnotherVersionAtAVmThatIsCutOff() throws Exception {
			cut();
			String begun = beginAtNewer();
			int status = takeUp("again", begun);
			assertThat(ran(this.older, "again")).as("ran at the older version").isFalse();
			assertThat(status).isEqualTo(UNAVAILABLE);
		}

		@Test
		void aStreamGoesOnAtTheVersionThatBeganItAfterACut() throws Exception {
			cut();
			String begun = beginAtNewer();
			heal();
			int last = 0;
			for (int i = 0; i < MAX_STREAMS && last != OK; i++) {
				last = takeUp("again" + i, begun);
				assertThat(ran(this.older, "again" + i)).as("attempt %s ran at the older version", i).isFalse();
				Thread.sleep(PAUSE_MS);
			}
			assertThat(last).isEqualTo(OK);
		}

		@Test
		void aStreamGoesOnAtOnceAtAVmThatLostTheOthersButReachesTheStore() throws Exception {
			peerLinks(TcpForwarder.Mode.CUT);
			this.log.await("peer_lost", "peer=vm-0 reason=silent");
			assertThat(takeUp("uniform", "unknown")).isEqualTo(OK);
			String begun = beginAtNewer();
			Installation
				.await(() -> this.installation.store().values(CallerWire.STREAMS_TOPIC).toString().contains(begun));
			assertThat(takeUp("again", begun)).isEqualTo(OK);
			assertThat(ran(this.newer, "again")).isTrue();
		}

		// The VM that is cut off here is the one that writes, by the hash of its name.
		@Test
		void originsThatWereAnnouncedWhileTheWriterWasLostAreWritten() throws Exception {
			beginAtNewer();
			Installation.await(() -> written("begun0"));
			this.log.await("versions_mixed", "service=pool");
			peerLinks(TcpForwarder.Mode.CUT);
			this.storePath.mode(TcpForwarder.Mode.CUT);
			List<CompletableFuture<HttpResponse<String>>> begun = new ArrayList<>();
			for (int i = 0; i < STREAMS; i++) {
				begun.add(this.installation.sendAsync(stream(IN_TOUCH, "lost" + i)));
			}
			for (CompletableFuture<HttpResponse<String>> answer : begun) {
				assertThat(answer.join().statusCode()).isEqualTo(OK);
			}
			assertThat(this.log.contain("peer_lost", "peer=vm-1 reason=silent")).as("the writer is known as lost")
				.isFalse();
			for (int i = 0; i < STREAMS; i++) {
				String lost = "lost" + i;
				Installation.await(() -> written(lost));
			}
		}

		private boolean written(String attemptId) {
			return this.installation.store()
				.values(CallerWire.STREAMS_TOPIC)
				.toString()
				.contains('"' + attemptId + '"');
		}

		@Test
		void streamsOfOneVersionGoOnAtAVmThatIsInTouchWhileTheStoreIsAway() throws Exception {
			this.storePath.mode(TcpForwarder.Mode.CUT);
			this.log.await("store_lost", "topic=ENDPOINTS");
			assertThat(takeUp("again", "unknown")).isEqualTo(OK);
		}

	}

	@Nested
	class Stopped {

		private static final int IN_TOUCH = 16;

		private static final int STOPPED = 17;

		/** Longer than the time after which the others count a VM as lost. */
		private static final long STOP_MS = 1_500;

		@TempDir
		private Path directory;

		private static Socket send(EntryProcess vm, String attemptId, String headers) throws IOException {
			URI address = URI.create("http://" + vm.callerAddress());
			Socket socket = new Socket(address.getHost(), address.getPort());
			String request = "POST /stream/x HTTP/1.1\r\nHost: 127.0.0.1\r\nAuthorization: Token good\r\n"
					+ CallerWire.ATTEMPT_ID + ": " + attemptId + "\r\n" + CallerWire.TIME_LEFT_MS + ": 20000\r\n"
					+ headers + "Connection: close\r\nContent-Length: 2\r\n\r\n{}";
			socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
			return socket;
		}

		private static Socket takeUp(EntryProcess vm, String attemptId, String resumed) throws IOException {
			return send(vm, attemptId, "Resumes: " + resumed + "\r\nLast-Event-Id: 2\r\n");
		}

		private static int status(Socket answered) throws IOException {
			try (answered) {
				String answer = new String(answered.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
				return Integer.parseInt(answer.split(" ")[1]);
			}
		}

		@Test
		void aStreamDoesNotGoOnAtAnotherVersionAtAVmThatStoodStill() throws Exception {
			try (StoreStandIn store = new StoreStandIn();
					EndpointStandIn older = new EndpointStandIn("pool-1");
					EndpointStandIn newer = new EndpointStandIn("pool-2")) {
				store.put(CallerWire.OPERATOR_TOPIC, "config", CallerWire.CONFIG.formatted(1));
				store.put(CallerWire.ENDPOINT_TOPIC, "pool-1", older.record("pool", "a", "ready"));
				try (EntryProcess inTouch = new EntryProcess(IN_TOUCH, this.directory, store.address());
						EntryProcess stopped = new EntryProcess(STOPPED, this.directory, store.address())) {
					Installation.await(() -> inTouch.isReady() && stopped.isReady());
					Installation.await(() -> isHeard(stopped, IN_TOUCH) && isHeard(inTouch, STOPPED));
					Thread.sleep(STOP_MS);
					assertThat(status(takeUp(stopped, "before", "unknown"))).isEqualTo(OK);
					stopped.signal("STOP");
					Thread.sleep(STOP_MS);
					join(newer, store);
					String begun = beginAtNewer(inTouch, newer);
					Socket again = takeUp(stopped, "again", begun);
					Thread.sleep(STOP_MS);
					stopped.signal("CONT");
					int status = status(again);
					assertThat(ran(older, "again")).as("ran at the older version").isFalse();
					assertThat(status).isEqualTo(OK);
				}
			}
		}

		private boolean isHeard(EntryProcess vm, int number) {
			try {
				return !vm.logLines("event=peer_heard peer=vm-" + number).isEmpty();
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
		}

		private String beginAtNewer(EntryProcess vm, EndpointStandIn newer) throws Exception {
			for (int i = 0; i < MAX_STREAMS; i++) {
				status(send(vm, "begun" + i, ""));
				if (ran(newer, "begun" + i)) {
					return "begun" + i;
				}
				Thread.sleep(PAUSE_MS);
			}
			throw new AssertionError("no stream began at the newer version");
		}

	}

}
