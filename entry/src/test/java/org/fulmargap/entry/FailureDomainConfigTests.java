package org.fulmargap.entry;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.concurrent.atomic.AtomicReferenceArray;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import java.util.stream.Stream;

import org.fulmargap.platform.standin.CallerWire;
import org.fulmargap.platform.standin.EndpointStandIn;
import org.fulmargap.platform.standin.OperatorConfig;
import org.fulmargap.platform.standin.StoreStandIn;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against VMs of one failure domain that are behind on the configuration: seven
 * VMs in three domains are asked for routes and keys that have just changed, beside
 * disturbances of single VMs and domains. System properties: {@code domains.seeds}, for
 * example {@code 1-50}; {@code domains.seconds}, the length of a run;
 * {@code domains.troubles}, the disturbances instead of a draw of three;
 * {@code domains.logs}, a folder in which the logs of the VMs remain;
 * {@code domains.absent}, the number of VMs that are listed and gone, with 6 or more of
 * which one VM of each domain reads the store for the others.
 */
class FailureDomainConfigTests {

	private static final List<String> DOMAINS = List.of("north", "north", "north", "centre", "centre", "south",
			"south");

	private static final List<Integer> ALL = IntStream.range(0, DOMAINS.size()).boxed().toList();

	private static final List<TcpForwarder.Mode> REFUSALS = List.of(TcpForwarder.Mode.UNAVAILABLE,
			TcpForwarder.Mode.BUSY, TcpForwarder.Mode.RESET);

	private static final Step NOTHING = () -> {
	};

	private static final String HOST = "shop.example";

	private static final int LENGTH_S = Integer.getInteger("domains.seconds", 12);

	private static final int ABSENT_VMS = Integer.getInteger("domains.absent", 0);

	/** The bound of the rules ({@code rollback-slack-ms}). */
	private static final long ROLLBACK_SLACK_MS = 250;

	private static final int TIMEOUT_MS = 1_500;

	private static final long CALL_INTERVAL_MS = 30;

	/** The time without a disturbance after which a VM is in touch, in milliseconds. */
	private static final long CONTACT_MS = 3_000;

	/** In this time at the start all VMs come in touch, in milliseconds. */
	private static final long CALM_MS = 2_000;

	private static final int DRAWN_TROUBLES = 3;

	private static final List<Integer> LASTING_ROUTES = List.of(0, 200, 900);

	private final ContactLog contacts = new ContactLog();

	private final List<String> faults = new CopyOnWriteArrayList<>();

	private final AtomicReferenceArray<EntryProcess> vms = new AtomicReferenceArray<>(DOMAINS.size());

	private final AtomicIntegerArray lifetimes = new AtomicIntegerArray(DOMAINS.size());

	private final List<TcpForwarder> storePaths = new ArrayList<>();

	private final List<TcpForwarder> peerPaths = new ArrayList<>();

	private final Set<Object> busy = new HashSet<>();

	private final AtomicInteger judged = new AtomicInteger();

	private final ExecutorService threads = Executors.newCachedThreadPool();

	private final StoreStandIn store = new StoreStandIn();

	private ConfigHistory history;

	private Path logs;

	private volatile boolean over;

	FailureDomainConfigTests() throws IOException {
	}

	static LongStream seeds() {
		String[] range = System.getProperty("domains.seeds", "1-3").split("-");
		return LongStream.rangeClosed(Long.parseLong(range[0]), Long.parseLong(range[range.length - 1]));
	}

	@ParameterizedTest
	@MethodSource("seeds")
	void configurationsAreInForceInTimeAndNeverGoBack(long seed, @TempDir Path directory) throws Exception {
		Random random = new Random(seed);
		String kept = System.getProperty("domains.logs");
		this.logs = (kept != null) ? Files.createDirectories(Path.of(kept, "seed-" + seed)) : directory;
		this.history = new ConfigHistory(new Random(random.nextLong()),
				LASTING_ROUTES.get(random.nextInt(LASTING_ROUTES.size())));
		List<EndpointStandIn> endpoints = new ArrayList<>();
		ProcessStalls stalls = new ProcessStalls();
		List<Trouble> troubles = Trouble.draw(random);
		try {
			for (String service : ConfigHistory.services()) {
				EndpointStandIn endpoint = new EndpointStandIn(service);
				endpoint.workMs(1);
				endpoints.add(endpoint);
				this.store.put(CallerWire.ENDPOINT_TOPIC, service, endpoint.record(service, "north", "ready"));
			}
			write(this.history.newest());
			startVms();
			run(random, troubles);
		}
		finally {
			this.over = true;
			this.threads.shutdown();
			this.threads.awaitTermination(20, TimeUnit.SECONDS);
			close(endpoints, stalls);
			System.out.println("seed " + seed + ' ' + troubles + ": " + this.judged + " judged, " + this.faults.size()
					+ " faults, stalls of this process up to " + stalls.longestMs() + " ms");
			this.faults.stream().limit(20).forEach(System.out::println);
		}
		assertThat(this.faults).isEmpty();
		assertThat(this.judged).hasPositiveValue();
	}

	private void write(ConfigHistory.Version version) {
		this.store.put(CallerWire.OPERATOR_TOPIC, "config", OperatorConfig.of(version.number(), HOST,
				version.services(), version.keys(), TIMEOUT_MS + version.number() % 500));
		this.history.acknowledged(nowMs());
	}

	// VMs reach the store and each other through forwarders, which the store's records of
	// the VMs name. All their ports have five digits.
	private void startVms() throws IOException, InterruptedException {
		for (int i = 0; i < ABSENT_VMS; i++) {
			this.store.put(CallerWire.MEMBER_TOPIC, "absent" + i, EntryProcess.peerAddress(100 + i) + " north 0.75");
		}
		InetSocketAddress storeAddress = TcpForwarder.address(this.store.address());
		for (int vm = 0; vm < DOMAINS.size(); vm++) {
			this.storePaths.add(new TcpForwarder(TcpForwarder.address("127.0.0.1:0"), storeAddress));
			this.peerPaths.add(new TcpForwarder(TcpForwarder.address(EntryProcess.ip(vm + 1) + ":0"),
					TcpForwarder.address(EntryProcess.peerAddress(vm + 1))));
		}
		this.store.filterAppends(this::withForwarder);
		for (int vm = 0; vm < DOMAINS.size(); vm++) {
			this.vms.set(vm, newProcess(vm));
		}
		this.contacts.disturbance(ALL, nowMs()).end(nowMs());
		for (int vm = 0; vm < DOMAINS.size(); vm++) {
			Installation.await(this.vms.get(vm)::isReady);
		}
	}

	private String withForwarder(String record) {
		String replaced = record;
		for (int vm = 0; vm < DOMAINS.size(); vm++) {
			replaced = replaced.replace(EntryProcess.peerAddress(vm + 1), this.peerPaths.get(vm).address());
		}
		return replaced;
	}

	private EntryProcess newProcess(int vm) throws IOException {
		return new EntryProcess(vm + 1, DOMAINS.get(vm), this.logs, this.storePaths.get(vm).address());
	}

	private void close(List<EndpointStandIn> endpoints, ProcessStalls stalls) throws IOException {
		for (int vm = 0; vm < DOMAINS.size(); vm++) {
			if (this.vms.get(vm) != null) {
				this.vms.get(vm).close();
			}
		}
		for (TcpForwarder path : this.storePaths) {
			path.close();
		}
		for (TcpForwarder path : this.peerPaths) {
			path.close();
		}
		endpoints.forEach(EndpointStandIn::close);
		this.store.close();
		stalls.close();
	}

	private void run(Random random, List<Trouble> troubles) throws InterruptedException {
		int maxStepMs = (random.nextBoolean()) ? 400 : 2_000;
		Random steps = new Random(random.nextLong());
		this.threads.execute(() -> operate(steps, maxStepMs));
		for (int i = 0; i < DOMAINS.size(); i++) {
			int vm = i;
			Random requests = new Random(random.nextLong());
			this.threads.execute(() -> call(vm, requests));
		}
		int maxPauseMs = (random.nextBoolean()) ? 2_500 : 8_000;
		long endMs = nowMs() + LENGTH_S * 1_000L;
		Thread.sleep(CALM_MS);
		while (nowMs() < endMs) {
			Trouble trouble = troubles.get(random.nextInt(troubles.size()));
			Random draw = new Random(random.nextLong());
			this.threads.execute(() -> play(trouble, draw));
			Thread.sleep(300 + random.nextInt(maxPauseMs));
		}
	}

	private static long nowMs() {
		return System.nanoTime() / 1_000_000;
	}

	private void operate(Random steps, int maxStepMs) {
		try {
			while (!this.over) {
				Thread.sleep(150 + steps.nextInt(maxStepMs - 149));
				write(this.history.next(nowMs()));
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void call(int vm, Random requests) {
		TreeMap<Long, Integer> seen = new TreeMap<>();
		int lifetime = 0;
		try {
			while (!this.over) {
				if (lifetime != this.lifetimes.get(vm)) {
					lifetime = this.lifetimes.get(vm);
					seen.clear();
				}
				ConfigHistory.Target target = this.history.target(requests);
				long sentAtMs = nowMs();
				String answer = answer(vm, target);
				if (answer != null) {
					judge(new Exchange(vm, target, answer, sentAtMs, nowMs()), seen);
				}
				Thread.sleep(CALL_INTERVAL_MS);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	// Returns the service that ran the request or the status of a refusal by the
	// configuration, or null.
	private String answer(int vm, ConfigHistory.Target target) {
		try (Socket socket = new Socket()) {
			socket.setSoTimeout(TIMEOUT_MS);
			socket.connect(TcpForwarder.address(this.vms.get(vm).callerAddress()), TIMEOUT_MS);
			socket.getOutputStream()
				.write(("GET " + target.path() + "x HTTP/1.1\r\nHost: " + HOST + "\r\nConnection: close\r\n"
						+ CallerWire.ATTEMPT_ID + ": vm" + (vm + 1) + '.' + nowMs() + "\r\n" + CallerWire.TIME_LEFT_MS
						+ ": " + TIMEOUT_MS + "\r\nAuthorization: Token " + target.key() + "\r\n\r\n")
					.getBytes(StandardCharsets.US_ASCII));
			String text = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
			if (text.startsWith("HTTP/1.1 200")) {
				return text.substring(text.lastIndexOf(' ') + 1);
			}
			String status = (text.length() > 12) ? text.substring(9, 12) : "";
			return (Set.of(ConfigHistory.NO_ROUTE, ConfigHistory.UNKNOWN_KEY).contains(status)) ? status : null;
		}
		catch (IOException ex) {
			return null;
		}
	}

	private void judge(Exchange exchange, TreeMap<Long, Integer> seen) {
		List<Integer> allowing = this.history.allowing(exchange.target(), exchange.answer(), exchange.endedAtMs());
		int newest = (allowing.isEmpty()) ? -1 : allowing.get(allowing.size() - 1);
		long boundMs = this.contacts.boundMs(exchange.vm(), exchange.sentAtMs(), exchange.endedAtMs());
		if (boundMs != ContactLog.UNBOUND) {
			this.judged.incrementAndGet();
			int oldest = this.history.oldestAllowed(exchange.sentAtMs(), boundMs);
			if (newest < oldest) {
				this.faults.add(describe("old", exchange, newest, oldest));
			}
		}
		Map.Entry<Long, Integer> before = seen.floorEntry(exchange.sentAtMs() - ROLLBACK_SLACK_MS);
		if (before != null && newest < before.getValue()) {
			this.faults.add(describe("back", exchange, newest, before.getValue()));
		}
		if (ConfigHistory.services().contains(exchange.answer()) && !allowing.isEmpty()) {
			int highest = (seen.isEmpty()) ? 0 : seen.lastEntry().getValue();
			seen.put(exchange.endedAtMs(), Math.max(highest, allowing.get(0)));
		}
	}

	private String describe(String kind, Exchange exchange, int newest, int required) {
		String allowedBy = (newest >= 0) ? "version " + this.history.at(newest).number() : "no version";
		ConfigHistory.Version version = this.history.at(required);
		return "%tT.%<tL %s at vm-%d (%s): %s answered %s, as %s allows; version %d was acknowledged %d ms before"
			.formatted(System.currentTimeMillis() - nowMs() + exchange.sentAtMs(), kind, exchange.vm() + 1,
					DOMAINS.get(exchange.vm()), exchange.target(), exchange.answer(), allowedBy, version.number(),
					exchange.sentAtMs() - version.ackedAtMs());
	}

	private void play(Trouble trouble, Random draw) {
		int vm = draw.nextInt(DOMAINS.size());
		String domain = DOMAINS.get(vm);
		List<Integer> members = ALL.stream().filter((other) -> DOMAINS.get(other).equals(domain)).toList();
		List<Integer> concerned = (draw.nextBoolean()) ? List.of(vm) : members;
		Set<Object> places = switch (trouble) {
			case STOP, KILL, HUP -> Set.of(vm);
			case CUT_PEERS, SILENT_PEERS -> Set.of("peers");
			case CUT_BOTH, SILENT_BOTH, SILENT_ALONE -> Set.of("peers", domain);
			case NO_ANSWER_ALL, SILENT_ALL -> Set.copyOf(DOMAINS);
			default -> Set.of(domain);
		};
		synchronized (this.busy) {
			if (!Collections.disjoint(this.busy, places)) {
				return;
			}
			this.busy.addAll(places);
		}
		System.out.printf("%tT.%<tL %s of %s, VMs %s%n", System.currentTimeMillis(), trouble, places, concerned);
		try {
			play(trouble, vm, members, concerned, draw);
		}
		catch (IOException ex) {
			this.faults.add(trouble + " failed: " + ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		System.out.printf("%tT.%<tL %s ends%n", System.currentTimeMillis(), trouble);
		synchronized (this.busy) {
			this.busy.removeAll(places);
		}
	}

	private void play(Trouble trouble, int vm, List<Integer> members, List<Integer> concerned, Random draw)
			throws IOException, InterruptedException {
		int lengthMs = 300 + draw.nextInt(4_700);
		int delayMs = 200 + draw.nextInt(2_000);
		TcpForwarder.Mode refusal = REFUSALS.get(draw.nextInt(REFUSALS.size()));
		Predicate<String> fromMember = (greeting) -> members.stream()
			.anyMatch((member) -> greeting.contains("vm-" + (member + 1)));
		switch (trouble) {
			case STOP -> during(lengthMs, List.of(vm), () -> this.vms.get(vm).signal("STOP"),
					() -> this.vms.get(vm).signal("CONT"));
			case KILL -> during(lengthMs / 5, List.of(vm), () -> kill(vm), () -> this.vms.set(vm, newProcess(vm)));
			case HUP -> this.vms.get(vm).signal("HUP");
			case COMPACT -> this.store.compact(CallerWire.OPERATOR_TOPIC);
			case TURN_AWAY -> during(2 * lengthMs, this.contacts.refusals(nowMs()), () -> mode(members, refusal),
					() -> mode(members, TcpForwarder.Mode.FORWARD));
			case NO_ANSWER, NO_ANSWER_ALL -> {
				List<Integer> unanswered = (trouble == Trouble.NO_ANSWER) ? concerned : ALL;
				during(lengthMs, ALL, () -> mode(unanswered, TcpForwarder.Mode.NO_ANSWER),
						() -> mode(unanswered, TcpForwarder.Mode.FORWARD));
			}
			case LATE_STORE -> during(lengthMs, ALL, () -> delay(concerned, delayMs), () -> {
				delay(concerned, 0);
				Thread.sleep(delayMs);
			});
			case SILENT_STORE -> during(0, ALL, () -> silenceStore(members), NOTHING);
			case SILENT_ALL -> during(0, ALL, () -> silenceStore(ALL), NOTHING);
			case SILENT_PEERS -> during(0, ALL, () -> silencePeers(members, fromMember), NOTHING);
			case SILENT_BOTH -> during(0, ALL, () -> {
				silenceStore(members);
				silencePeers(members, fromMember);
			}, NOTHING);
			case SILENT_ALONE -> {
				cutPeers(members, fromMember);
				during(0, ALL, () -> silenceStore(members), NOTHING);
				Thread.sleep(2 * CONTACT_MS);
				healPeers();
			}
			// VMs that reach the store remain in touch.
			case CUT_PEERS -> during(lengthMs, List.of(), () -> cutPeers(members, fromMember), this::healPeers);
			case CUT_STORE -> during(lengthMs, concerned, () -> mode(concerned, TcpForwarder.Mode.CUT),
					() -> mode(concerned, TcpForwarder.Mode.FORWARD));
			case CUT_BOTH -> during(lengthMs, members, () -> {
				mode(members, TcpForwarder.Mode.CUT);
				cutPeers(members, fromMember);
			}, () -> {
				mode(members, TcpForwarder.Mode.FORWARD);
				healPeers();
			});
			default -> throw new IllegalStateException(trouble.name());
		}
	}

	private void during(int lengthMs, List<Integer> disturbed, Step begin, Step end)
			throws IOException, InterruptedException {
		during(lengthMs, this.contacts.disturbance(disturbed, nowMs()), begin, end);
	}

	private static void during(int lengthMs, ContactLog.Disturbance disturbance, Step begin, Step end)
			throws IOException, InterruptedException {
		begin.run();
		Thread.sleep(lengthMs);
		end.run();
		disturbance.end(nowMs());
	}

	private void kill(int vm) throws IOException, InterruptedException {
		this.vms.get(vm).signal("KILL");
		this.vms.get(vm).awaitExit();
		this.lifetimes.incrementAndGet(vm);
	}

	private void delay(List<Integer> members, long delayMs) {
		members.forEach((member) -> this.storePaths.get(member).delayMs(delayMs));
	}

	private void silenceStore(List<Integer> members) {
		members.forEach((member) -> this.storePaths.get(member).silence((greeting) -> true));
	}

	private void silencePeers(List<Integer> members, Predicate<String> fromMember) {
		ALL.forEach((vm) -> this.peerPaths.get(vm).silence((members.contains(vm)) ? (greeting) -> true : fromMember));
	}

	private void cutPeers(List<Integer> members, Predicate<String> fromMember) {
		ALL.forEach((vm) -> this.peerPaths.get(vm).hold((members.contains(vm)) ? fromMember.negate() : fromMember));
	}

	private void healPeers() {
		this.peerPaths.forEach((path) -> path.hold((greeting) -> false));
	}

	private void mode(List<Integer> members, TcpForwarder.Mode mode) throws IOException {
		for (int member : members) {
			this.storePaths.get(member).mode(mode);
		}
	}

	/**
	 * A step of a disturbance.
	 */
	private interface Step {

		void run() throws IOException, InterruptedException;

	}

	/**
	 * The disturbances.
	 */
	private enum Trouble {

		/** A VM is suspended and continues. */
		STOP,

		/** A VM is killed and another process starts under its name. */
		KILL,

		/** A VM gets the signal of changed settings. */
		HUP,

		/** The store's history is dropped. */
		COMPACT,

		/** The store refuses the calls of one domain. */
		TURN_AWAY,

		/** The store does not answer a VM or a domain. */
		NO_ANSWER,

		/** The store answers a VM or a domain late. */
		LATE_STORE,

		/** The open connections of one domain to the store deliver nothing any more. */
		SILENT_STORE,

		/**
		 * The open connections to and from the VMs of one domain deliver nothing more.
		 */
		SILENT_PEERS,

		/** All open connections of one domain deliver nothing any more. */
		SILENT_BOTH,

		/** A domain is cut off from the other VMs, but not from the store. */
		CUT_PEERS,

		/** A VM or a domain is cut off from the store, but not from the other VMs. */
		CUT_STORE,

		/** A domain is cut off from the store and from the other VMs. */
		CUT_BOTH,

		/** The store answers no VM. */
		NO_ANSWER_ALL,

		/**
		 * The same as {@code SILENT_STORE} of a domain that is cut off from the others.
		 */
		SILENT_ALONE,

		/** The open connections of all VMs to the store deliver nothing any more. */
		SILENT_ALL;

		private static List<Trouble> draw(Random random) {
			String named = System.getProperty("domains.troubles");
			if (named != null) {
				return Stream.of(named.split(",")).map(Trouble::valueOf).toList();
			}
			// Open issue: VMs that get nothing from peers are late after a silence of
			// their connections to the store.
			EnumSet<Trouble> known = EnumSet.of(SILENT_ALONE, SILENT_ALL);
			List<Trouble> all = new ArrayList<>(EnumSet.complementOf(known));
			Collections.shuffle(all, random);
			return List.copyOf(all.subList(0, DRAWN_TROUBLES));
		}

	}

	/**
	 * A request and its answer.
	 *
	 * @param vm the VM
	 * @param target what was asked for
	 * @param answer the service that ran it, or the status of the refusal
	 * @param sentAtMs when it was sent, in milliseconds
	 * @param endedAtMs when its answer arrived, in milliseconds
	 */
	private record Exchange(int vm, ConfigHistory.Target target, String answer, long sentAtMs, long endedAtMs) {
	}

}
