package org.fulmargap.entry;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import java.util.stream.Stream;

import org.fulmargap.platform.standin.CallerWire;
import org.fulmargap.platform.standin.EndpointStandIn;
import org.fulmargap.platform.standin.StoreStandIn;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against VMs whose processes end without SIGTERM or SIGKILL beside planned work
 * and disturbances. The system properties {@code ends.seeds}, {@code ends.seconds},
 * {@code ends.troubles} (only these), {@code ends.without} (all but these),
 * {@code ends.logs} (a folder that keeps the logs) and {@code entry.landing} narrow a
 * run.
 */
class OwnEndSoakTests {

	private static final List<String> DOMAINS = List.of("north", "north", "north", "east", "east", "south");

	private static final List<Integer> ALL = IntStream.range(0, DOMAINS.size()).boxed().toList();

	/** Numbers of processes that no other test uses. */
	private static final int FIRST_VM = 61;

	private static final int SECONDS = Integer.getInteger("ends.seconds", 15);

	private static final int CALLERS_PER_VM = 3;

	private static final int SILENCE_MS = 8_000;

	/** The platform starts an ended process again after a short delay. */
	private static final long RESTART_DELAY_MS = 200;

	/** Traffic starts so long after the VMs on kleefwerk-gent. */
	private static final long MAX_START_MS = 15_000;

	/** Ends are listed with the disturbances of this time before them. */
	private static final long CAUSE_MS = 3_000;

	private static final int LAST_LINES = 6;

	private static final int MAX_ROUTES = 600;

	private static final int REWRITES = 20;

	private static final int MAX_REWRITE_MS = 5;

	private final Slot[] slots = new Slot[DOMAINS.size()];

	private final List<TcpForwarder> storePaths = new ArrayList<>();

	private final List<TcpForwarder> peerPaths = new ArrayList<>();

	private final List<EndpointPath> endpointPaths = new ArrayList<>();

	private final ExecutorService threads = Executors.newCachedThreadPool();

	private final AtomicInteger starts = new AtomicInteger();

	private final AtomicInteger answers = new AtomicInteger();

	private final AtomicInteger version = new AtomicInteger();

	private final List<String> ownEnds = new CopyOnWriteArrayList<>();

	// The exit codes after SIGTERM and SIGKILL.
	private final Map<Integer, Integer> exitCodes = new ConcurrentHashMap<>();

	private final List<String> lateStarts = new CopyOnWriteArrayList<>();

	private final List<Event> events = new CopyOnWriteArrayList<>();

	private final StoreStandIn store = new StoreStandIn();

	private Path directory;

	private volatile boolean over;

	OwnEndSoakTests() throws IOException {
	}

	static LongStream seeds() {
		String[] range = System.getProperty("ends.seeds", "1-2").split("-");
		return LongStream.rangeClosed(Long.parseLong(range[0]), Long.parseLong(range[range.length - 1]));
	}

	@ParameterizedTest
	@MethodSource("seeds")
	void noProcessEndsByItself(long seed, @TempDir Path temporary) throws Exception {
		Random random = new Random(seed);
		String kept = System.getProperty("ends.logs");
		this.directory = (kept != null) ? Files.createDirectories(Path.of(kept, "seed-" + seed)) : temporary;
		List<Trouble> troubles = Trouble.draw(random);
		System.out.println("seed " + seed + ' ' + troubles);
		try {
			for (String service : List.of("core", "pool", "stage")) {
				for (int i = 1; i <= 2; i++) {
					this.endpointPaths.add(new EndpointPath(service + '-' + i, service, DOMAINS.get(2 * i)));
				}
			}
			writeConfig(0);
			startVms(random);
			long endMs = nowMs() + SECONDS * 1_000L;
			int maxPauseMs = 300 + random.nextInt(2_000);
			while (nowMs() < endMs) {
				Trouble trouble = troubles.get(random.nextInt(troubles.size()));
				Random draw = new Random(random.nextLong());
				this.threads.execute(() -> play(trouble, draw));
				Thread.sleep(50 + random.nextInt(maxPauseMs));
			}
		}
		finally {
			close();
			System.out.println("seed " + seed + ": " + this.starts + " starts, " + this.answers + " answers, "
					+ this.ownEnds.size() + " own ends, " + this.lateStarts.size() + " late starts, "
					+ "exit codes after SIGTERM and SIGKILL " + this.exitCodes);
			this.ownEnds.forEach(System.out::println);
			this.lateStarts.forEach(System.out::println);
		}
		assertThat(this.ownEnds).isEmpty();
		assertThat(this.answers).hasPositiveValue();
	}

	// VMs reach the store, each other and endpoints through forwarders, and so do callers
	// VMs. The addresses of a forwarder and of its target have the same length.
	private void startVms(Random random) throws IOException, InterruptedException {
		InetSocketAddress storeAddress = TcpForwarder.address(this.store.address());
		List<TcpForwarder> callerPaths = new ArrayList<>();
		for (int vm : ALL) {
			String ip = EntryProcess.ip(FIRST_VM + vm);
			this.storePaths.add(new TcpForwarder(TcpForwarder.address("127.0.0.1:0"), storeAddress));
			this.peerPaths.add(new TcpForwarder(TcpForwarder.address(ip + ":0"),
					TcpForwarder.address(EntryProcess.peerAddress(FIRST_VM + vm))));
		}
		this.store.filterAppends(this::withForwarder);
		for (int vm : ALL) {
			this.slots[vm] = new Slot(vm);
			this.slots[vm].start();
			this.slots[vm].callers = new TcpForwarder(TcpForwarder.address("127.0.0.1:0"),
					TcpForwarder.address(this.slots[vm].process.callerAddress()));
			callerPaths.add(this.slots[vm].callers);
		}
		for (int vm : ALL) {
			Installation.await(() -> this.slots[vm].process.isReady());
			for (int i = 0; i < CALLERS_PER_VM; i++) {
				Random ownRandom = new Random(random.nextLong());
				String name = "vm" + vm + "caller" + i;
				this.threads.execute(() -> call(callerPaths.get(vm).address(), name, ownRandom));
			}
		}
	}

	private String withForwarder(String record) {
		String replaced = record;
		for (int vm : ALL) {
			replaced = replaced.replace(EntryProcess.peerAddress(FIRST_VM + vm), this.peerPaths.get(vm).address());
		}
		return replaced;
	}

	private void close() throws IOException, InterruptedException {
		this.over = true;
		for (Slot slot : this.slots) {
			if (slot != null) {
				slot.close();
			}
		}
		for (TcpForwarder path : this.storePaths) {
			path.close();
		}
		for (TcpForwarder path : this.peerPaths) {
			path.close();
		}
		for (EndpointPath path : this.endpointPaths) {
			path.close();
		}
		this.store.close();
		this.threads.shutdownNow();
		this.threads.awaitTermination(SILENCE_MS, TimeUnit.MILLISECONDS);
	}

	private static long nowMs() {
		return System.nanoTime() / 1_000_000;
	}

	private synchronized void writeConfig(int routes) {
		String config = CallerWire.CONFIG.formatted(this.version.incrementAndGet());
		String first = config.substring(config.indexOf("{\"name\":\"read\""), config.indexOf("{\"name\":\"push\""));
		String more = IntStream.range(0, routes)
			.mapToObj((i) -> first.replace("\"read\"", "\"read" + i + '"').replace("/read/", "/read" + i + '/'))
			.collect(Collectors.joining());
		this.store.put(CallerWire.OPERATOR_TOPIC, "config", config.replace(first, first + more));
	}

	private void call(String address, String name, Random random) {
		int attempt = 0;
		while (!this.over) {
			try (KeptConnection connection = new KeptConnection(address)) {
				boolean open = true;
				while (open && !this.over) {
					attempt++;
					Thread.sleep(20 + random.nextInt(150));
					boolean leaves = random.nextInt(8) == 0;
					ReceivedAnswer answer = connection.exchange(List.of(request(name + '.' + attempt, random)), 0, 0,
							(leaves) ? 1 + random.nextInt(100) : SILENCE_MS);
					this.answers.addAndGet((answer.isSuccess() && answer.isComplete()) ? 1 : 0);
					open = answer.keepsConnection();
				}
			}
			catch (IOException ex) {
				// The VM is away.
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return;
			}
		}
	}

	private static String request(String attemptId, Random random) {
		String path = List.of("/push/x", "/read/x", "/read9/x", "/stream/x", "/stream/y").get(random.nextInt(5));
		int bodyBytes = List.of(0, 600, 4_700, 18_000, 110_000).get(random.nextInt(5));
		String headers = "";
		if (path.startsWith("/stream")) {
			headers = CallerWire.ITEM_COUNTS + ": " + (1 + random.nextInt(6)) + "," + (1 + random.nextInt(25)) + "\r\n"
					+ CallerWire.INPUT_KEY + ": key" + random.nextInt(50) + "\r\n" + CallerWire.TOKEN_USAGE + ": "
					+ (100 + random.nextInt(9_000)) + ",20\r\n" + CallerWire.PROMPT_PARTS + ": a" + random.nextInt(4)
					+ ":60,b" + random.nextInt(90) + ":40\r\n";
		}
		return "POST " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\nAuthorization: Token good\r\n" + CallerWire.ATTEMPT_ID
				+ ": " + attemptId + "\r\n" + CallerWire.TIME_LEFT_MS + ": 6000\r\n" + headers + "Content-Length: "
				+ bodyBytes + "\r\n\r\n" + "b".repeat(bodyBytes);
	}

	private void play(Trouble trouble, Random draw) {
		List<Integer> shuffled = new ArrayList<>(ALL);
		Collections.shuffle(shuffled, draw);
		List<Integer> some = List.copyOf(shuffled.subList(0, 1 + draw.nextInt(ALL.size())));
		Event event = new Event(trouble, some, nowMs());
		this.events.add(event);
		System.out.printf("%tT.%<tL %s of %s%n", System.currentTimeMillis(), trouble, some);
		try {
			play(trouble, some, draw);
		}
		catch (IOException ex) {
			System.out.println(trouble + " failed: " + ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void play(Trouble trouble, List<Integer> some, Random draw) throws IOException, InterruptedException {
		int lengthMs = 300 + draw.nextInt(4_700);
		switch (trouble) {
			case ROLL_TERM -> {
				for (int vm : some) {
					this.slots[vm].end("TERM");
					Thread.sleep(lengthMs / 3);
				}
			}
			case HERD_KILL -> {
				for (int vm : some) {
					this.slots[vm].end("KILL");
				}
			}
			case FREEZE -> {
				for (int vm : some) {
					this.slots[vm].process.signal("STOP");
				}
				Thread.sleep(lengthMs);
				for (int vm : some) {
					this.slots[vm].process.signal("CONT");
				}
			}
			case HUP -> {
				for (int vm : some) {
					this.slots[vm].changeSettings(draw);
					Thread.sleep(draw.nextInt(300));
				}
			}
			case HUP_AT_START -> {
				for (int vm : some) {
					this.slots[vm].end("KILL");
				}
				for (int vm : some) {
					Thread.sleep(draw.nextInt(600));
					this.slots[vm].changeSettings(draw);
				}
			}
			case REWRITE_AT_START -> {
				for (int vm : some) {
					this.slots[vm].end("KILL");
				}
				for (int i = 0; i < REWRITES; i++) {
					Thread.sleep(draw.nextInt(100));
					this.slots[some.get(draw.nextInt(some.size()))].rewriteSettings(draw.nextInt(MAX_REWRITE_MS));
				}
			}
			case RESET_CONNECTIONS -> {
				for (int vm : some) {
					this.slots[vm].callers.reset((greeting) -> true);
					this.peerPaths.get(vm).reset((greeting) -> true);
					this.storePaths.get(vm).reset((greeting) -> true);
				}
				for (EndpointPath path : this.endpointPaths) {
					path.reset();
				}
			}
			case STORE_REFUSES -> storeFault(some, TcpForwarder.Mode.UNAVAILABLE, lengthMs, false);
			case STORE_RESETS -> storeFault(some, TcpForwarder.Mode.RESET, lengthMs, false);
			case STORE_SILENT -> storeFault(some, TcpForwarder.Mode.NO_ANSWER, lengthMs, false);
			case STORE_AWAY_AT_START ->
				storeFault(some, draw(draw, TcpForwarder.Mode.CUT, TcpForwarder.Mode.RESET, TcpForwarder.Mode.NO_ANSWER,
						TcpForwarder.Mode.UNAVAILABLE, TcpForwarder.Mode.BUSY), lengthMs, true);
			case STORE_COMPACTED -> {
				this.store.compact(CallerWire.OPERATOR_TOPIC);
				this.store.compact(CallerWire.ENDPOINT_TOPIC);
				this.store.compact(CallerWire.MEMBER_TOPIC);
			}
			case STORE_LOSES_ANSWERS -> {
				this.store.fault(draw(draw, StoreStandIn.Fault.LOST_ANSWERS, StoreStandIn.Fault.BUSY));
				Thread.sleep(lengthMs);
				this.store.fault(StoreStandIn.Fault.NONE);
			}
			case ENDPOINT_CRASH -> this.endpointPaths.get(draw.nextInt(this.endpointPaths.size())).crash(lengthMs);
			case ENDPOINT_FAULT -> this.endpointPaths.get(draw.nextInt(this.endpointPaths.size()))
				.fault(draw(draw, EndpointStandIn.Fault.values()), lengthMs);
			case ENDPOINT_LEAVES ->
				this.endpointPaths.get(draw.nextInt(this.endpointPaths.size())).leave(draw.nextBoolean(), lengthMs);
			case NEW_CONFIG -> {
				for (int i = draw.nextInt(8); i >= 0; i--) {
					writeConfig(draw.nextInt(3));
					Thread.sleep(draw.nextInt(200));
				}
			}
			case MANY_ROUTES -> writeConfig(1 + draw.nextInt(MAX_ROUTES));
			default -> throw new IllegalStateException(trouble.name());
		}
	}

	@SafeVarargs
	private static <T> T draw(Random draw, T... values) {
		return values[draw.nextInt(values.length)];
	}

	private void storeFault(List<Integer> some, TcpForwarder.Mode mode, int lengthMs, boolean kill)
			throws IOException, InterruptedException {
		for (int vm : some) {
			this.storePaths.get(vm).mode(mode);
			if (kill) {
				this.slots[vm].end("KILL");
			}
		}
		Thread.sleep(lengthMs);
		for (int vm : some) {
			this.storePaths.get(vm).mode(TcpForwarder.Mode.FORWARD);
		}
	}

	private String eventsAt(int vm, long fromMs, long toMs) {
		return this.events.stream()
			.filter((event) -> event.vms().contains(vm) && event.atMs() >= fromMs && event.atMs() <= toMs)
			.map((event) -> event.trouble() + " " + (toMs - event.atMs()) + " ms before")
			.toList()
			.toString();
	}

	/**
	 * The place of a VM, in which the platform starts its process again after each end.
	 */
	private final class Slot {

		private final int vm;

		private volatile EntryProcess process;

		private TcpForwarder callers;

		private volatile boolean expected;

		private Slot(int vm) {
			this.vm = vm;
		}

		private synchronized void start() throws IOException {
			if (OwnEndSoakTests.this.over) {
				return;
			}
			this.expected = false;
			this.process = new EntryProcess(FIRST_VM + this.vm, DOMAINS.get(this.vm), OwnEndSoakTests.this.directory,
					OwnEndSoakTests.this.storePaths.get(this.vm).address());
			OwnEndSoakTests.this.starts.incrementAndGet();
			EntryProcess started = this.process;
			long startedMs = nowMs();
			OwnEndSoakTests.this.threads.execute(() -> awaitEnd(started, startedMs));
			OwnEndSoakTests.this.threads.execute(() -> awaitReady(started, startedMs));
		}

		private synchronized void end(String signal) throws IOException, InterruptedException {
			if (this.process.isAlive()) {
				this.expected = true;
				this.process.signal(signal);
			}
		}

		private synchronized void changeSettings(Random draw) throws IOException, InterruptedException {
			this.process.changeSettings("retry-slack = .*", "retry-slack = " + (40 + draw.nextInt(20)));
			this.process.changeSettings("drain-ms = .*", "drain-ms = " + (1_500 + draw.nextInt(1_000)));
			this.process.signal("HUP");
		}

		private synchronized void rewriteSettings(long pauseMs) throws IOException, InterruptedException {
			this.process.rewriteSettings(pauseMs);
		}

		private void awaitEnd(EntryProcess started, long startedMs) {
			try {
				int code = started.waitFor();
				if (OwnEndSoakTests.this.over) {
					return;
				}
				if (!this.expected) {
					report(started, startedMs, code);
				}
				else {
					OwnEndSoakTests.this.exitCodes.merge(code, 1, Integer::sum);
				}
				Thread.sleep(RESTART_DELAY_MS);
				start();
			}
			catch (IOException ex) {
				System.out.println("VM " + this.vm + " did not start: " + ex);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}

		private void report(EntryProcess started, long startedMs, int code) throws IOException {
			List<String> lines = started.logLines("");
			String report = "own end: VM " + this.vm + ", exit code " + code + ", " + (nowMs() - startedMs)
					+ " ms after its start, " + eventsAt(this.vm, nowMs() - CAUSE_MS, nowMs())
					+ ", last lines of all its processes:\n"
					+ String.join("\n", lines.subList(Math.max(0, lines.size() - LAST_LINES), lines.size()));
			OwnEndSoakTests.this.ownEnds.add(report);
			System.out.printf("%tT.%<tL %s%n", System.currentTimeMillis(), report);
		}

		private void awaitReady(EntryProcess started, long startedMs) {
			try {
				while (started.isAlive() && !OwnEndSoakTests.this.over && !started.isReady()) {
					Thread.sleep(100);
				}
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
			long afterMs = nowMs() - startedMs;
			if (afterMs > MAX_START_MS) {
				OwnEndSoakTests.this.lateStarts.add("late start: VM " + this.vm + ", ready or ended after " + afterMs
						+ " ms, " + eventsAt(this.vm, startedMs, nowMs()));
			}
		}

		private synchronized void close() throws IOException {
			this.process.close();
			if (this.callers != null) {
				this.callers.close();
			}
		}

	}

	/**
	 * An endpoint and the forwarder in front of it, at whose address it crashes and
	 * returns.
	 */
	private final class EndpointPath {

		private final String id;

		private final EndpointStandIn endpoint;

		private final InetSocketAddress address;

		private final String record;

		private TcpForwarder path;

		private EndpointPath(String id, String service, String domain) throws IOException {
			this.id = id;
			this.endpoint = new EndpointStandIn(id);
			this.endpoint.workMs(20);
			InetSocketAddress target = TcpForwarder.address(this.endpoint.address());
			this.path = new TcpForwarder(TcpForwarder.address("127.0.0.1:0"), target);
			this.address = TcpForwarder.address(this.path.address());
			this.record = this.endpoint.record(service, domain, "ready")
				.replace(this.endpoint.address(), this.path.address());
			OwnEndSoakTests.this.store.put(CallerWire.ENDPOINT_TOPIC, id, this.record);
		}

		private synchronized void reset() {
			this.path.reset((greeting) -> true);
		}

		private synchronized void crash(int lengthMs) throws IOException, InterruptedException {
			this.path.reset((greeting) -> true);
			this.path.close();
			Thread.sleep(lengthMs);
			this.path = new TcpForwarder(this.address, TcpForwarder.address(this.endpoint.address()));
		}

		private void fault(EndpointStandIn.Fault fault, int lengthMs) throws InterruptedException {
			this.endpoint.fault(fault);
			Thread.sleep(lengthMs);
			this.endpoint.fault(EndpointStandIn.Fault.NONE);
		}

		private void leave(boolean drains, int lengthMs) throws InterruptedException {
			OwnEndSoakTests.this.store.put(CallerWire.ENDPOINT_TOPIC, this.id,
					(drains) ? this.record.replace("\"ready\"", "\"draining\"") : "");
			Thread.sleep(lengthMs);
			OwnEndSoakTests.this.store.put(CallerWire.ENDPOINT_TOPIC, this.id, this.record);
		}

		private synchronized void close() throws IOException {
			this.path.close();
			this.endpoint.close();
		}

	}

	/**
	 * The planned work and the disturbances.
	 */
	private enum Trouble {

		/** VMs get SIGTERM in turn. */
		ROLL_TERM,

		/** VMs are killed at the same moment. */
		HERD_KILL,

		/** VMs are suspended and continue. */
		FREEZE,

		/** The settings of VMs change. */
		HUP,

		/** The settings of VMs change while they start. */
		HUP_AT_START,

		/** The settings of VMs are written again in place while they start. */
		REWRITE_AT_START,

		/** All connections of VMs and endpoints are reset. */
		RESET_CONNECTIONS,

		/** The store answers VMs with status 503. */
		STORE_REFUSES,

		/** The store resets the connections of VMs. */
		STORE_RESETS,

		/** The store gives VMs no answer. */
		STORE_SILENT,

		/** VMs start while the store is away. */
		STORE_AWAY_AT_START,

		/** The store's history is dropped. */
		STORE_COMPACTED,

		/** Calls of the store take effect without an answer, or are refused. */
		STORE_LOSES_ANSWERS,

		/** An endpoint refuses connections and returns. */
		ENDPOINT_CRASH,

		/** An endpoint answers wrongly. */
		ENDPOINT_FAULT,

		/** An endpoint drains or is removed, and returns. */
		ENDPOINT_LEAVES,

		/** New configurations in quick succession. */
		NEW_CONFIG,

		/** A configuration with many routes. */
		MANY_ROUTES;

		private static final int MIN_DRAWN = 7;

		private static List<Trouble> draw(Random random) {
			EnumSet<Trouble> named = named("ends.troubles");
			if (!named.isEmpty()) {
				return List.copyOf(named);
			}
			List<Trouble> drawn = new ArrayList<>(EnumSet.complementOf(named("ends.without")));
			Collections.shuffle(drawn, random);
			int count = Math.min(drawn.size(), MIN_DRAWN + random.nextInt(values().length - MIN_DRAWN));
			return List.copyOf(drawn.subList(0, count));
		}

		private static EnumSet<Trouble> named(String property) {
			return Stream.of(System.getProperty(property, "").split(","))
				.filter((name) -> !name.isEmpty())
				.map(Trouble::valueOf)
				.collect(Collectors.toCollection(() -> EnumSet.noneOf(Trouble.class)));
		}

	}

	/**
	 * A disturbance that began.
	 *
	 * @param trouble the disturbance
	 * @param vms the VMs that it concerns
	 * @param atMs when it began, in milliseconds
	 */
	private record Event(Trouble trouble, List<Integer> vms, long atMs) {
	}

}
