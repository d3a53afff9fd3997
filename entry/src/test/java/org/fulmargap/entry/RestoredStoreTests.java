package org.fulmargap.entry;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;

import org.fulmargap.fleet.FleetMember;
import org.fulmargap.fleet.Hubs;
import org.fulmargap.platform.standin.CallerWire;
import org.fulmargap.platform.standin.EndpointStandIn;
import org.fulmargap.platform.standin.OperatorConfig;
import org.fulmargap.platform.standin.StoreStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against VMs that miss what is written, or forget what they know, when the store
 * comes back from an older copy and assigns offsets again. Each service has one endpoint
 * and the path of its name; each version adds the path of its number.
 */
class RestoredStoreTests {

	/** How long the store is away before it is back, in milliseconds. */
	private static final long AWAY_MS = 500;

	/** When operators and endpoints write again what was lost, in milliseconds. */
	private static final long WRITTEN_AGAIN_MS = 1_500;

	/**
	 * A record that the store has had unchanged for this long after its return is of an
	 * endpoint that lives, and one that it has lacked for this long is gone, in ms.
	 */
	private static final long SETTLED_MS = 6_000;

	/** Some time before or after {@link #SETTLED_MS}, in milliseconds. */
	private static final long MARGIN_MS = 700;

	private static final long CHECK_INTERVAL_MS = 20;

	private static final int TIMEOUT_MS = 2_000;

	private static final int OK = 200;

	private static final int NO_ENDPOINT = 503;

	// When each mistake was seen first.
	private final Map<String, String> mistakes = new LinkedHashMap<>();

	private final Map<String, EndpointStandIn> endpoints = new LinkedHashMap<>();

	private final List<String> vms = new ArrayList<>();

	private Installation installation;

	private StoreStandIn store;

	private int version = 1;

	private long returnedAtMs;

	@BeforeEach
	void open() throws IOException {
		this.installation = new Installation();
		this.store = this.installation.store();
	}

	@AfterEach
	void close() {
		this.installation.close();
	}

	private void start(int count, String... services) throws Exception {
		this.endpoints.put("core", this.installation.endpoint("core-1", "core"));
		for (String service : services) {
			this.endpoints.put(service, this.installation.endpoint(service + "-1", service));
		}
		writeVersion();
		for (int i = 0; i < count; i++) {
			startVm("vm-" + i, this.store.address());
		}
		awaitVersion();
	}

	private void startVm(String name, String storeAddress) throws Exception {
		this.installation.vm(name, storeAddress);
		this.vms.add(name);
		this.installation.awaitReady();
	}

	private String[] paths(int newest) {
		return IntStream.rangeClosed(2, newest).mapToObj((number) -> "/v" + number + '/').toArray(String[]::new);
	}

	private void writeVersion() {
		this.version++;
		Map<String, String> services = new HashMap<>();
		this.endpoints.keySet().forEach((service) -> services.put('/' + service + '/', service));
		for (String path : paths(this.version)) {
			services.put(path, "core");
		}
		this.store.put(CallerWire.OPERATOR_TOPIC, "config",
				OperatorConfig.of(this.version, "127.0.0.1", services, Set.of("good"), TIMEOUT_MS));
	}

	private String newestPath() {
		return "/v" + this.version + '/';
	}

	private void awaitVersion() throws InterruptedException {
		awaitStatus(newestPath(), OK);
	}

	private void awaitStatus(String path, int status) throws InterruptedException {
		Installation.await(() -> IntStream.range(0, this.vms.size()).allMatch((vm) -> status(vm, path) == status));
	}

	private void write(String service, String state, long sequence) {
		write(service, "a", state, EndpointStandIn.STARTED_AT_MS, sequence);
	}

	private void write(String service, String domain, String state, long startedAtMs, long sequence) {
		this.store.put(CallerWire.ENDPOINT_TOPIC, service + "-1",
				this.endpoints.get(service).record(service, domain, state, startedAtMs, sequence));
	}

	private void remove(String service) {
		this.store.put(CallerWire.ENDPOINT_TOPIC, service + "-1", "");
	}

	private void evacuate(String domain, boolean out) {
		this.store.put(CallerWire.OPERATOR_TOPIC, "evacuate/" + domain, (out) ? "{}" : "");
	}

	private void restore(StoreStandIn.Copy copy) throws InterruptedException {
		restore(copy, () -> {
		});
	}

	// The open reads end when the store goes away. What others write at its return is
	// there before the VMs read again.
	private void restore(StoreStandIn.Copy copy, Runnable writes) throws InterruptedException {
		this.store.fault(StoreStandIn.Fault.DOWN);
		this.store.restore(copy);
		writes.run();
		Thread.sleep(AWAY_MS);
		this.store.fault(StoreStandIn.Fault.NONE);
		this.returnedAtMs = nowMs();
	}

	private void sleepUntil(long atMs) throws InterruptedException {
		Thread.sleep(Math.max(0, atMs - nowMs()));
	}

	private void awaitRewriting() throws InterruptedException {
		sleepUntil(this.returnedAtMs + WRITTEN_AGAIN_MS);
	}

	// When a record that is written now is in force at VMs that are in touch.
	private long dueAtMs() {
		return Math.max(this.returnedAtMs + Installation.CONTACT_MS, nowMs() + Installation.CONFIG_APPLY_MS);
	}

	private void checkUntil(long untilMs, Map<String, Integer> statuses) throws InterruptedException {
		do {
			for (int vm = 0; vm < this.vms.size(); vm++) {
				check(vm, statuses);
			}
			Thread.sleep(CHECK_INTERVAL_MS);
		}
		while (nowMs() < untilMs);
	}

	private void checkBy(long dueAtMs, Map<String, Integer> statuses) throws InterruptedException {
		while (nowMs() < dueAtMs && !answer(statuses)) {
			Thread.sleep(CHECK_INTERVAL_MS);
		}
		checkUntil(0, statuses);
	}

	private boolean answer(Map<String, Integer> statuses) {
		return IntStream.range(0, this.vms.size())
			.allMatch((vm) -> statuses.entrySet()
				.stream()
				.allMatch((entry) -> status(vm, entry.getKey()) == entry.getValue()));
	}

	private void check(int vm, Map<String, Integer> statuses) {
		statuses.forEach((path, expected) -> {
			long sentAtMs = nowMs();
			int status = status(vm, path);
			if (status != expected) {
				this.mistakes.putIfAbsent(this.vms.get(vm) + " answers " + status + " on " + path + ", not " + expected,
						(sentAtMs - this.returnedAtMs) + " ms after the return");
			}
		});
	}

	private int status(int vm, String path) {
		try {
			return this.installation.send(this.installation.attempt(vm, path + 'x')).statusCode();
		}
		catch (IOException ex) {
			return 0;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new AssertionError("interrupted", ex);
		}
	}

	private void assertNoMistakes() {
		assertThat(this.mistakes).isEmpty();
	}

	private static long nowMs() {
		return System.nanoTime() / 1_000_000;
	}

	@Nested
	class Configurations {

		@Test
		void aVersionAtAnOffsetThatIsAssignedAgainIsInForceInTime() throws Exception {
			start(2);
			StoreStandIn.Copy copy = RestoredStoreTests.this.store.copy();
			writeVersion();
			awaitVersion();
			restore(copy);
			awaitRewriting();
			writeVersion();
			checkBy(dueAtMs(), Map.of(newestPath(), OK));
			assertNoMistakes();
		}

		@Test
		void aVersionThatTheCopyLacksStaysInForce() throws Exception {
			start(2);
			StoreStandIn.Copy copy = RestoredStoreTests.this.store.copy();
			writeVersion();
			awaitVersion();
			Map<String, Integer> served = Map.of(newestPath(), OK);
			restore(copy);
			checkUntil(RestoredStoreTests.this.returnedAtMs + WRITTEN_AGAIN_MS, served);
			writeVersion();
			checkUntil(dueAtMs(), served);
			assertNoMistakes();
		}

		@Test
		void aVersionBeforeOffsetsThatAreAssignedAgainAtOnceIsInForceInTime() throws Exception {
			start(2);
			StoreStandIn.Copy copy = RestoredStoreTests.this.store.copy();
			writeVersion();
			awaitVersion();
			restore(copy, () -> {
				writeVersion();
				evacuate("other", true);
				evacuate("other", false);
			});
			checkBy(dueAtMs(), Map.of(newestPath(), OK));
			assertNoMistakes();
		}

		@Test
		void aVersionIsInForceInTimeAfterTwoRestores() throws Exception {
			start(2);
			StoreStandIn.Copy older = RestoredStoreTests.this.store.copy();
			writeVersion();
			StoreStandIn.Copy newer = RestoredStoreTests.this.store.copy();
			writeVersion();
			awaitVersion();
			restore(newer);
			writeVersion();
			restore(older);
			writeVersion();
			checkBy(dueAtMs(), Map.of(newestPath(), OK));
			assertNoMistakes();
		}

		@Test
		void aVmThatStartsBeforeAVersionIsWrittenAgainHasItInTime() throws Exception {
			start(2);
			StoreStandIn.Copy copy = RestoredStoreTests.this.store.copy();
			writeVersion();
			awaitVersion();
			restore(copy);
			startVm("vm-2", RestoredStoreTests.this.store.address());
			awaitRewriting();
			writeVersion();
			sleepUntil(nowMs() + Installation.CONFIG_APPLY_MS / 2);
			check(2, Map.of(newestPath(), OK));
			assertNoMistakes();
		}

		@Test
		void aVmThatTheStoreTurnsAwayFollowsTheNewHistory() throws Exception {
			InetSocketAddress address = TcpForwarder.address(RestoredStoreTests.this.store.address());
			try (TcpForwarder path = new TcpForwarder(new InetSocketAddress("127.0.0.1", 0), address)) {
				start(2, "left");
				startVm("vm-2", path.address());
				StoreStandIn.Copy copy = RestoredStoreTests.this.store.copy();
				writeVersion();
				write("left", "ready", 2);
				write("left", "ready", 3);
				awaitVersion();
				path.mode(TcpForwarder.Mode.UNAVAILABLE);
				restore(copy);
				awaitRewriting();
				writeVersion();
				remove("left");
				sleepUntil(dueAtMs());
				checkUntil(nowMs() + Installation.CONFIG_APPLY_MS, Map.of(newestPath(), OK, "/left/", NO_ENDPOINT));
				assertNoMistakes();
			}
		}

		@Test
		void changesOfAStoreThatNamesNoHistoryAreInForceInTime() throws Exception {
			RestoredStoreTests.this.store.namesHistory(false);
			start(2, "left");
			RestoredStoreTests.this.store.fault(StoreStandIn.Fault.DOWN);
			Thread.sleep(AWAY_MS);
			RestoredStoreTests.this.store.fault(StoreStandIn.Fault.NONE);
			RestoredStoreTests.this.returnedAtMs = nowMs();
			RestoredStoreTests.this.store.compact(CallerWire.OPERATOR_TOPIC);
			writeVersion();
			remove("left");
			checkBy(dueAtMs(), Map.of(newestPath(), OK, "/left/", NO_ENDPOINT, "/core/", OK));
			assertNoMistakes();
		}

	}

	@Nested
	class Endpoints {

		// With two records all topics end where the VMs read on, so that no read fails.
		@ParameterizedTest
		@ValueSource(ints = { 2, 4 })
		void anEndpointThatTheCopyLacksIsUsedWhileItMayBeWrittenAgain(int writes) throws Exception {
			start(2);
			StoreStandIn.Copy copy = RestoredStoreTests.this.store.copy();
			for (String service : List.of("written", "lost")) {
				RestoredStoreTests.this.endpoints.put(service,
						RestoredStoreTests.this.installation.endpoint(service + "-1", service));
			}
			writeVersion();
			awaitStatus("/written/", OK);
			awaitStatus("/lost/", OK);
			restore(copy, () -> {
				IntStream.range(0, writes).forEach((sequence) -> write("core", "ready", 2 + sequence));
				evacuate("other", true);
			});
			Map<String, Integer> used = Map.of("/written/", OK);
			checkUntil(RestoredStoreTests.this.returnedAtMs + WRITTEN_AGAIN_MS, used);
			write("written", "ready", 1);
			checkUntil(RestoredStoreTests.this.returnedAtMs + Installation.CONTACT_MS, used);
			checkUntil(nowMs() + MARGIN_MS, Map.of("/written/", OK, "/lost/", NO_ENDPOINT));
			assertNoMistakes();
		}

		@Test
		void anEndpointThatLeftAfterTheCopyIsUsedOnlyAfterANewerRecord() throws Exception {
			start(2, "left", "restarted", "draining");
			StoreStandIn.Copy copy = RestoredStoreTests.this.store.copy();
			remove("left");
			remove("restarted");
			write("draining", "draining", 2);
			Map<String, Integer> unused = new HashMap<>();
			for (String path : List.of("/left/", "/restarted/", "/draining/")) {
				awaitStatus(path, NO_ENDPOINT);
				unused.put(path, NO_ENDPOINT);
			}
			restore(copy);
			checkUntil(RestoredStoreTests.this.returnedAtMs + WRITTEN_AGAIN_MS, unused);
			write("left", "ready", 3);
			write("restarted", "a", "ready", EndpointStandIn.STARTED_AT_MS + 1, 1);
			write("draining", "ready", 3);
			checkBy(dueAtMs(), Map.of("/left/", OK, "/restarted/", OK, "/draining/", OK));
			assertNoMistakes();
		}

		@Test
		void anEndpointThatTheCopyListsForLongIsUsedAgainUnlessItIsDraining() throws Exception {
			start(2, "lapsed", "expiring", "draining");
			StoreStandIn.Copy copy = RestoredStoreTests.this.store.copy();
			remove("lapsed");
			remove("expiring");
			write("draining", "draining", 2);
			for (String path : List.of("/lapsed/", "/expiring/", "/draining/")) {
				awaitStatus(path, NO_ENDPOINT);
			}
			restore(copy);
			Map<String, Integer> unused = Map.of("/expiring/", NO_ENDPOINT, "/draining/", NO_ENDPOINT);
			checkUntil(RestoredStoreTests.this.returnedAtMs + SETTLED_MS / 2, unused);
			remove("expiring");
			checkUntil(RestoredStoreTests.this.returnedAtMs + SETTLED_MS - MARGIN_MS,
					Map.of("/lapsed/", NO_ENDPOINT, "/expiring/", NO_ENDPOINT, "/draining/", NO_ENDPOINT));
			checkBy(RestoredStoreTests.this.returnedAtMs + SETTLED_MS + Installation.DRAIN_MS,
					Map.of("/lapsed/", OK, "/expiring/", NO_ENDPOINT, "/draining/", NO_ENDPOINT));
			assertNoMistakes();
		}

		@Test
		void anEvacuationThatTheCopyLacksHoldsWhileItMayBeWrittenAgain() throws Exception {
			List<String> domains = List.of("written", "lost", "back");
			start(2, domains.toArray(String[]::new));
			for (String domain : domains) {
				write(domain, domain, "ready", EndpointStandIn.STARTED_AT_MS, 2);
			}
			evacuate("back", true);
			awaitStatus("/back/", NO_ENDPOINT);
			evacuate("back", false);
			awaitStatus("/back/", OK);
			StoreStandIn.Copy copy = RestoredStoreTests.this.store.copy();
			evacuate("written", true);
			evacuate("lost", true);
			awaitStatus("/written/", NO_ENDPOINT);
			awaitStatus("/lost/", NO_ENDPOINT);
			restore(copy);
			Map<String, Integer> held = Map.of("/written/", NO_ENDPOINT, "/lost/", NO_ENDPOINT, "/back/", OK);
			checkUntil(RestoredStoreTests.this.returnedAtMs + WRITTEN_AGAIN_MS, held);
			evacuate("written", true);
			checkUntil(RestoredStoreTests.this.returnedAtMs + SETTLED_MS - MARGIN_MS, held);
			checkBy(RestoredStoreTests.this.returnedAtMs + SETTLED_MS + Installation.DRAIN_MS,
					Map.of("/written/", NO_ENDPOINT, "/lost/", OK, "/back/", OK));
			assertNoMistakes();
		}

	}

	@Nested
	class OwnRecords {

		private boolean isWritten(String topic, String... keys) {
			return RestoredStoreTests.this.store.values(topic).keySet().containsAll(List.of(keys));
		}

		private void assertWritten(String topic, String... keys) throws InterruptedException {
			long dueAtMs = RestoredStoreTests.this.returnedAtMs + Installation.CONTACT_MS;
			while (nowMs() < dueAtMs && !isWritten(topic, keys)) {
				Thread.sleep(CHECK_INTERVAL_MS);
			}
			assertThat(RestoredStoreTests.this.store.values(topic)).containsKeys(keys);
		}

		@Test
		void theAddressOfAVmThatTheCopyLacksIsWrittenAgain() throws Exception {
			start(1);
			StoreStandIn.Copy copy = RestoredStoreTests.this.store.copy();
			startVm("vm-1", RestoredStoreTests.this.store.address());
			Installation.await(() -> isWritten(CallerWire.MEMBER_TOPIC, "vm-1"));
			restore(copy);
			assertWritten(CallerWire.MEMBER_TOPIC, "vm-0", "vm-1");
		}

		@Test
		void aRefusedPromptPartThatTheCopyLacksIsWrittenAgain() throws Exception {
			start(2);
			StoreStandIn.Copy copy = RestoredStoreTests.this.store.copy();
			long epochMs = System.currentTimeMillis();
			RestoredStoreTests.this.store.put(CallerWire.QUARANTINE_TOPIC, EndpointStandIn.CRASH_PART,
					epochMs + " " + (epochMs + 60_000));
			int reads = RestoredStoreTests.this.store.calls(CallerWire.QUARANTINE_TOPIC);
			Installation.await(() -> RestoredStoreTests.this.store.calls(CallerWire.QUARANTINE_TOPIC) >= reads + 2);
			restore(copy);
			assertWritten(CallerWire.QUARANTINE_TOPIC, EndpointStandIn.CRASH_PART);
		}

		@Test
		void vmsThatGetTheirRecordsFromHubsFollowTheNewHistory() throws Exception {
			List<String> names = new ArrayList<>(
					IntStream.range(0, Hubs.MAX_FLAT_FLEET + 3).mapToObj((number) -> "vm-" + number).toList());
			List<FleetMember> fleet = names.stream()
				.map((name) -> new FleetMember(name, "127.0.0.1:1", "a", 1))
				.toList();
			Set<String> hubs = new Hubs(fleet, names.size()).names();
			String lateHub = hubs.iterator().next();
			String lateMember = names.stream().filter((name) -> !hubs.contains(name)).findFirst().orElseThrow();
			names.removeAll(List.of(lateHub, lateMember));
			start(0);
			for (String name : names) {
				startVm(name, RestoredStoreTests.this.store.address());
			}
			Installation.await(() -> isWritten(CallerWire.MEMBER_TOPIC, names.toArray(String[]::new)));
			StoreStandIn.Copy copy = RestoredStoreTests.this.store.copy();
			startVm(lateHub, RestoredStoreTests.this.store.address());
			startVm(lateMember, RestoredStoreTests.this.store.address());
			Installation.await(() -> followers() == RestoredStoreTests.this.vms.size() - hubs.size());
			writeVersion();
			awaitVersion();
			restore(copy);
			assertWritten(CallerWire.MEMBER_TOPIC, lateHub, lateMember);
			writeVersion();
			checkBy(dueAtMs(), Map.of(newestPath(), OK));
			assertNoMistakes();
		}

		private int followers() {
			return (int) IntStream.range(0, RestoredStoreTests.this.vms.size())
				.filter((vm) -> RestoredStoreTests.this.installation.vm(vm).followsAHub())
				.count();
		}

	}

}
