package org.fulmargap.entry;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.LongStream;

import org.fulmargap.platform.standin.CallerWire;
import org.fulmargap.platform.standin.EarlyRefusingStandIn;
import org.fulmargap.platform.standin.EndpointStandIn;
import org.fulmargap.platform.standin.RawEndpointStandIn;
import org.fulmargap.platform.standin.StoreStandIn;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that are accepted and get no whole answer beside planned work:
 * new versions of the configuration, SIGHUP, evacuations and SIGTERM, with disturbances
 * of the store. Callers use open connections until the processes are gone. The system
 * property {@code lost.seeds} sets the seeds, for example {@code 1-50}.
 */
class LostSoakTests {

	private static final int VMS = 3;

	/** Numbers of processes that no other test uses. */
	private static final int FIRST_VM = 31;

	private static final String HOST = "lost.example";

	private static final List<Integer> IDLE_TIMEOUTS_MS = List.of(1_000, 1_500, 3_000, 15_000);

	private static final List<Integer> ROUTE_TIMEOUTS_MS = List.of(8_000, 12_000, 20_000);

	/**
	 * Requests that have used seven tenths of the shortest timeout of a route don't count
	 * beside a configuration.
	 */
	private static final long MAX_COUNTED_MS = 8_000 * 7 / 10;

	private static final int MAX_WORK_MS = 1_200;

	private static final int MAX_SUSPENDED_MS = 1_500;

	/** The bounds {@code loss-slack-ms}, {@code contact-ms} and {@code grace-s}. */
	private static final long SLACK_MS = 200;

	private static final long CONTACT_MS = 3_000;

	private static final long GRACE_MS = 8_000;

	/** A stream that was sent so soon after SIGTERM may be cut in the last sixth. */
	private static final long EARLY_IN_GRACE_MS = 3_000;

	private static final int MAX_KEPT_CUTS = 3;

	private static final int FIRST_FINAL_STATUS = 200;

	private static final int SILENCE_MS = 25_000;

	private static final int LARGE_ANSWER_BYTES = 6 << 20;

	private static final int SMALL_BUFFER_BYTES = 16_384;

	private final Set<String> runs = ConcurrentHashMap.newKeySet();

	private final Set<String> answered = ConcurrentHashMap.newKeySet();

	private final List<String> lost = new CopyOnWriteArrayList<>();

	// Accepted requests without a whole answer that the rule does not count.
	private final List<String> excused = new CopyOnWriteArrayList<>();

	// Those of them that were passed on from a kept connection, by VMs in touch, and got
	// nothing.
	private final List<String> keptCuts = new CopyOnWriteArrayList<>();

	// Until when each VM was suspended, or the far future if it was killed.
	private final Map<EntryProcess, Long> disturbed = new ConcurrentHashMap<>();

	private volatile long vmDisturbedAtMs;

	private volatile long storeDisturbedAtMs;

	private final AtomicInteger answers = new AtomicInteger();

	private final AtomicInteger closes = new AtomicInteger();

	private volatile int idleTimeoutMs = IDLE_TIMEOUTS_MS.get(0);

	private volatile long stoppedAtMs = Long.MAX_VALUE;

	static LongStream seeds() {
		String[] range = System.getProperty("lost.seeds", "1-2").split("-");
		return LongStream.rangeClosed(Long.parseLong(range[0]), Long.parseLong(range[range.length - 1]));
	}

	@ParameterizedTest
	@MethodSource("seeds")
	void everyAcceptedRequestIsAnsweredBesidePlannedWork(long seed, @TempDir Path directory) throws Exception {
		Random random = new Random(seed);
		int workMs = 1 + random.nextInt(MAX_WORK_MS);
		boolean crowded = random.nextInt(3) == 0;
		int slots = (crowded) ? 3 : 12;
		try (StoreStandIn store = new StoreStandIn();
				RawEndpointStandIn core = new RawEndpointStandIn(working(workMs, slots, seed));
				RawEndpointStandIn other = new RawEndpointStandIn(working(workMs, slots, ~seed));
				RawEndpointStandIn moved = new RawEndpointStandIn(working(workMs, slots, seed * 31));
				EarlyRefusingStandIn early = new EarlyRefusingStandIn();
				EndpointStandIn engine = new EndpointStandIn("pool-1");
				EndpointStandIn secondEngine = new EndpointStandIn("pool-2");
				EndpointStandIn stage = new EndpointStandIn("stage-1")) {
			engine.workMs(random.nextInt(200));
			secondEngine.workMs(random.nextInt(200));
			stage.workMs(50 + random.nextInt(300));
			Disturbances disturbances = new Disturbances(random, store);
			disturbances.endpoint("core-1", core.record("core"));
			disturbances.endpoint("core-2", other.record("core").replace("\"zone\":\"a\"", "\"zone\":\"b\""));
			disturbances.endpoint("moved-1", moved.record("moved"));
			if (random.nextBoolean()) {
				disturbances.endpoint("early-1", early.record("core"));
			}
			disturbances.endpoint("pool-1", engine.record("pool", "a", "ready"));
			disturbances.endpoint("pool-2", secondEngine.record("pool", "b", "ready"));
			disturbances.endpoint("stage-1", stage.record("stage", "a", "ready"));
			disturbances.newVersion();
			run(random, disturbances, directory, (crowded) ? 20 : 7);
		}
		System.out.println("seed " + seed + ": " + this.answers + " answers, " + this.closes
				+ " connections ended before an answer, " + this.lost.size() + " lost " + this.lost + ", "
				+ this.excused.size() + " excused " + this.excused);
		assertThat(this.lost).isEmpty();
		assertThat(this.keptCuts).hasSizeLessThanOrEqualTo(MAX_KEPT_CUTS);
		assertThat(this.answers).hasValueGreaterThan(VMS);
	}

	private void run(Random random, Disturbances disturbances, Path directory, int callersPerVm) throws Exception {
		ExecutorService callers = Executors.newCachedThreadPool();
		List<StoreRelay> relays = new ArrayList<>();
		List<EntryProcess> vms = new ArrayList<>();
		try {
			for (int i = 0; i < VMS; i++) {
				relays.add(new StoreRelay(disturbances.store.address()));
				vms.add(new EntryProcess(FIRST_VM + i, String.valueOf((char) ('a' + i)), directory,
						relays.get(i).address()));
			}
			for (EntryProcess vm : vms) {
				Installation.await(vm::isReady);
			}
			for (EntryProcess vm : vms) {
				for (int i = 0; i < callersPerVm; i++) {
					Random ownRandom = new Random(random.nextLong());
					String name = "vm" + vms.indexOf(vm) + "caller" + i;
					callers.execute(() -> call(vm, name, ownRandom));
				}
			}
			long endAtMs = System.currentTimeMillis() + 3_000 + random.nextInt(4_000);
			while (System.currentTimeMillis() < endAtMs) {
				disturbances.next(vms, relays);
				Thread.sleep(random.nextInt(250));
			}
			this.stoppedAtMs = System.currentTimeMillis();
			for (EntryProcess vm : vms) {
				vm.signal("TERM");
			}
			while (vms.stream().anyMatch(EntryProcess::isAlive)) {
				disturbances.nextBesideADrain(vms, relays);
				Thread.sleep(random.nextInt(500));
			}
			for (EntryProcess vm : vms) {
				int code = vm.awaitExit();
				assertThat(code == 0 || this.disturbed.containsKey(vm)).isTrue();
			}
			callers.shutdown();
			assertThat(callers.awaitTermination(SILENCE_MS, TimeUnit.MILLISECONDS)).isTrue();
		}
		finally {
			for (EntryProcess vm : vms) {
				vm.close();
			}
			for (StoreRelay relay : relays) {
				relay.close();
			}
			callers.shutdownNow();
		}
	}

	private RawEndpointStandIn.Handler working(int workMs, int slots, long seed) {
		Semaphore places = new Semaphore(slots);
		Random random = new Random(seed);
		return (socket, request) -> {
			this.runs.add(request.attemptId());
			places.acquireUninterruptibly();
			try {
				TimeUnit.MILLISECONDS.sleep(workMs);
			}
			catch (InterruptedException ex) {
				throw new IOException("the stand-in was closed", ex);
			}
			finally {
				places.release();
			}
			if (!request.path().endsWith("large") && random.nextInt(8) > 0) {
				return RawEndpointStandIn.answer(socket, request);
			}
			String body = (request.path().endsWith("large")) ? "x".repeat(LARGE_ANSWER_BYTES) : "done";
			RawEndpointStandIn.write(socket, RawEndpointStandIn.head(request.attemptId(),
					"Connection: close\r\nContent-Length: " + body.length() + "\r\n") + body);
			return false;
		};
	}

	// Sends one request after the other until no connection can be opened.
	private void call(EntryProcess vm, String name, Random random) {
		int attempt = 0;
		while (vm.isAlive()) {
			boolean slowReader = random.nextInt(25) == 0;
			try (KeptConnection connection = new KeptConnection(vm.callerAddress(),
					(slowReader) ? SMALL_BUFFER_BYTES : 0)) {
				boolean open = true;
				int first = attempt + 1;
				while (open) {
					attempt++;
					Request request = Request.draw(name + '.' + attempt, random, slowReader);
					open = exchange(vm, connection, request, attempt > first);
					if (request.pipelined != null && this.answered.contains(request.attemptId)) {
						open &= exchange(vm, connection, request.pipelined, true);
					}
					if (open && random.nextInt(6) == 0) {
						Thread.sleep(this.idleTimeoutMs * 4L / 5);
					}
				}
			}
			catch (IOException ex) {
				return;
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return;
			}
		}
	}

	private boolean exchange(EntryProcess vm, KeptConnection connection, Request request, boolean kept)
			throws InterruptedException, IOException {
		long beganAtMs = System.currentTimeMillis();
		ReceivedAnswer answer = connection.exchange(request.parts, request.pauseMs, request.readPauseMs, SILENCE_MS);
		if (answer.isComplete()) {
			this.answers.incrementAndGet();
			this.answered.add(request.attemptId);
			return answer.keepsConnection() && !request.closes;
		}
		long nowMs = System.currentTimeMillis();
		this.closes.incrementAndGet();
		boolean passedOn = !vm.logLines("event=dispatched request=" + request.attemptId + ' ').isEmpty();
		boolean read = passedOn || request.sentBehindAnother
				|| vm.logLines("request=" + request.attemptId + ' ')
					.stream()
					.anyMatch((line) -> !line.contains("progress=RECEIVING"));
		boolean accepted = passedOn || (read && connection.hasSentWhole() && answer.afterMs() > SLACK_MS);
		boolean lateInGrace = passedOn && beganAtMs <= this.stoppedAtMs + EARLY_IN_GRACE_MS
				&& nowMs >= this.stoppedAtMs + GRACE_MS * 5 / 6;
		boolean late = nowMs - beganAtMs > MAX_COUNTED_MS && this.stoppedAtMs == Long.MAX_VALUE;
		boolean excused = lateInGrace || late
				|| this.disturbed.getOrDefault(vm, Long.MIN_VALUE) > beganAtMs - CONTACT_MS
				|| this.vmDisturbedAtMs > beganAtMs - CONTACT_MS
				|| (request.stream && this.storeDisturbedAtMs > beganAtMs - CONTACT_MS);
		String report = request.attemptId + ((kept) ? " kept " : " new ") + request.kind + " sent "
				+ ((nowMs >= this.stoppedAtMs) ? beganAtMs - this.stoppedAtMs + " ms, ended "
						+ (nowMs - this.stoppedAtMs) + " ms after SIGTERM, " : "")
				+ answer + ", " + vm.logLines("request=" + request.attemptId + ' ');
		if (answer.end() != ReceivedAnswer.End.CLOSED || (accepted && !excused)) {
			this.lost.add(report);
		}
		else if (accepted) {
			this.excused.add(report);
			boolean inTouch = this.stoppedAtMs == Long.MAX_VALUE && !this.disturbed.containsKey(vm)
					&& this.storeDisturbedAtMs <= beganAtMs - CONTACT_MS;
			if (inTouch && kept && passedOn && !late && answer.status() < FIRST_FINAL_STATUS) {
				this.keptCuts.add(report);
			}
		}
		return false;
	}

	/**
	 * A request and how it is sent.
	 */
	private static final class Request {

		private final String attemptId;

		private String kind;

		private boolean stream;

		private List<String> parts;

		private long pauseMs;

		private long readPauseMs;

		private boolean closes;

		// Sent with the last part of this one.
		private Request pipelined;

		private boolean sentBehindAnother;

		private Request(String attemptId) {
			this.attemptId = attemptId;
		}

		private void pipeline(Request next) {
			List<String> joined = new ArrayList<>(this.parts);
			joined.add(joined.remove(joined.size() - 1) + String.join("", next.parts));
			this.parts = joined;
			next.parts = List.of();
			next.sentBehindAnother = true;
			this.pipelined = next;
		}

		private static Request draw(String attemptId, Random random, boolean slowReader) {
			Request request = new Request(attemptId);
			String path = List.of("/push/x", "/push/y", "/read/x", "/stream/x").get(random.nextInt(4));
			path = (slowReader) ? "/push/large" : path;
			String headers = "";
			if (path.startsWith("/stream") && random.nextBoolean()) {
				headers += CallerWire.ITEM_COUNTS + ": 2,3\r\n" + CallerWire.INPUT_KEY + ": key\r\n";
			}
			request.readPauseMs = (slowReader) ? 1_000 + random.nextInt(3_000) : 0;
			request.closes = random.nextInt(10) == 0;
			headers += (request.closes) ? "Connection: close\r\n" : "";
			int form = random.nextInt(6);
			request.stream = path.startsWith("/stream");
			request.kind = path + " form " + form;
			headers += (form == 1) ? "Expect: 100-continue\r\n" : "";
			String body = "b".repeat((form == 2) ? 60_000 : 8);
			headers += (form == 3) ? "Transfer-Encoding: chunked\r\n" : "Content-Length: " + body.length() + "\r\n";
			String head = "POST " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nAuthorization: Token good\r\n"
					+ CallerWire.ATTEMPT_ID + ": " + attemptId + "\r\n" + CallerWire.TIME_LEFT_MS + ": 20000\r\n"
					+ headers + "\r\n";
			int half = body.length() / 2;
			if (form == 3) {
				String chunk = Integer.toHexString(half) + "\r\n" + "b".repeat(half) + "\r\n";
				request.parts = List.of(head + chunk, chunk, "0\r\n\r\n");
			}
			else {
				request.parts = (form > 3) ? List.of(head + body)
						: List.of(head, body.substring(0, half), body.substring(half));
			}
			request.pauseMs = 10 + random.nextInt(800);
			if (!request.closes && !slowReader && !attemptId.endsWith("p") && random.nextInt(6) == 0) {
				request.pipeline(draw(attemptId + "p", random, false));
			}
			return request;
		}

	}

	/**
	 * What operators, endpoints, the platform and its store do in a run.
	 */
	private final class Disturbances {

		private final Random random;

		private final StoreStandIn store;

		private final List<String[]> endpoints = new ArrayList<>();

		private boolean disturbsVms;

		private boolean storeDisturbed;

		private int version;

		private Disturbances(Random random, StoreStandIn store) {
			this.random = random;
			this.store = store;
			this.disturbsVms = random.nextBoolean();
		}

		private <T> T draw(List<T> values) {
			return values.get(this.random.nextInt(values.size()));
		}

		private void endpoint(String id, String entry) {
			this.endpoints.add(new String[] { id, entry });
			this.store.put(CallerWire.ENDPOINT_TOPIC, id, entry);
		}

		private void newVersion() {
			this.version += 1 + this.random.nextInt(3);
			int idleMs = draw(IDLE_TIMEOUTS_MS);
			String pushService = (this.random.nextBoolean()) ? "core" : "moved";
			String text = CallerWire.CONFIG.formatted(this.version)
				.replace("127.0.0.1", HOST)
				.replaceAll("\"timeout-ms\":\\d+", "\"timeout-ms\":" + draw(ROUTE_TIMEOUTS_MS))
				.replaceAll("\"goal-ms\":\\d+", "\"goal-ms\":7000")
				.replace("\"service\":\"core\",\"max-attempts\":1",
						"\"service\":\"" + pushService + "\",\"max-attempts\":1")
				.replace("{\"name\":\"core\"}",
						"{\"name\":\"core\",\"max-conns\":" + (4 + this.random.nextInt(20)) + "},{\"name\":\"moved\"}")
				.replace("[\"good\"]", "[\"good\",\"key" + this.random.nextInt(3) + "\"]");
			if (this.random.nextInt(4) == 0) {
				text = text.replace("\"name\":\"read\",\"host\":\"" + HOST, "\"name\":\"read\",\"host\":\"dropped");
			}
			this.store.put(CallerWire.OPERATOR_TOPIC, "config",
					text.substring(0, text.length() - 1) + ",\"limits\":{\"max-header-bytes\":16384,"
							+ "\"max-body-bytes\":4194304,\"header-timeout-ms\":" + (1_000 + this.random.nextInt(2_000))
							+ ",\"idle-timeout-ms\":" + idleMs + "}}");
			LostSoakTests.this.idleTimeoutMs = idleMs;
		}

		private void next(List<EntryProcess> vms, List<StoreRelay> relays) throws Exception {
			switch (this.random.nextInt(11)) {
				case 0, 1, 2 -> newVersion();
				case 3 -> {
					EntryProcess vm = draw(vms);
					vm.changeSettings("link-mbps = .*", "link-mbps = " + (50 + this.random.nextInt(100)) + ".0");
					vm.signal("HUP");
				}
				case 4, 5 -> changeEndpoint();
				case 6 -> evacuate();
				case 7 -> disturbVm(draw(vms));
				default -> disturbStore(relays);
			}
			if (this.storeDisturbed) {
				LostSoakTests.this.storeDisturbedAtMs = System.currentTimeMillis();
			}
			if (this.random.nextInt(3) == 0) {
				this.storeDisturbed = false;
				this.store.fault(StoreStandIn.Fault.NONE);
				for (StoreRelay relay : relays) {
					relay.mode(StoreRelay.Mode.OPEN);
				}
			}
		}

		private void changeEndpoint() {
			String[] endpoint = draw(this.endpoints);
			String changed = draw(List.of("", endpoint[1], endpoint[1],
					endpoint[1].replace("\"state\":\"ready\"", "\"state\":\"draining\"")));
			this.store.put(CallerWire.ENDPOINT_TOPIC, endpoint[0], changed);
		}

		private void disturbStore(List<StoreRelay> relays) throws IOException {
			this.storeDisturbed = true;
			switch (this.random.nextInt(3)) {
				case 0 -> this.store.fault(draw(List.of(StoreStandIn.Fault.values())));
				case 1 -> draw(relays).mode(draw(List.of(StoreRelay.Mode.values())));
				default -> draw(relays).silenceOpenConnections();
			}
		}

		// One run in two has a VM that is suspended or, more rarely, killed.
		private void disturbVm(EntryProcess vm) throws Exception {
			if (!this.disturbsVms) {
				return;
			}
			this.disturbsVms = false;
			boolean kill = this.random.nextInt(3) == 0;
			LostSoakTests.this.disturbed.put(vm, Long.MAX_VALUE);
			LostSoakTests.this.vmDisturbedAtMs = System.currentTimeMillis() + MAX_SUSPENDED_MS;
			vm.signal((kill) ? "KILL" : "STOP");
			Thread.sleep(200 + this.random.nextInt(MAX_SUSPENDED_MS));
			vm.signal("CONT");
			long nowMs = System.currentTimeMillis();
			LostSoakTests.this.vmDisturbedAtMs = nowMs;
			if (!kill) {
				LostSoakTests.this.disturbed.put(vm, nowMs);
			}
		}

		private void evacuate() {
			String key = "evacuate/" + draw(List.of("a", "b"));
			this.store.put(CallerWire.OPERATOR_TOPIC, key, (this.random.nextBoolean()) ? "{}" : "");
		}

		private void nextBesideADrain(List<EntryProcess> vms, List<StoreRelay> relays) throws Exception {
			switch (this.random.nextInt(3)) {
				case 0 -> draw(vms).signal(draw(List.of("TERM", "HUP", "INT")));
				case 1 -> newVersion();
				default -> next(vms, relays);
			}
		}

	}

}
