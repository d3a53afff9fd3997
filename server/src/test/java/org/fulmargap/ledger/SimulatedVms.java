package org.fulmargap.ledger;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import com.codahale.metrics.MetricRegistry;
import org.fulmargap.claim.ClaimKey;
import org.fulmargap.claim.RecordedOutcome;
import org.fulmargap.peer.PeerNetwork;

/**
 * Simulates entry VMs that share one {@link FakeLog}, in virtual time and in one thread.
 */
final class SimulatedVms {

	static final long LIFETIME_MS = 30_000;

	final FakeLog log = new FakeLog(this::now);

	final Map<String, Vm> vms = new TreeMap<>();

	final Set<String> partitioned = new HashSet<>();

	final MetricRegistry metrics = new MetricRegistry();

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::atMs).thenComparing(Event::number));

	private long nowMs = 1_000_000;

	private long eventNumber;

	private int starts;

	SimulatedVms(List<String> names) {
		names.forEach(this::start);
	}

	long now() {
		return this.nowMs;
	}

	void start(String name) {
		Optional.ofNullable(this.vms.get(name)).ifPresent((vm) -> vm.stopped = true);
		Vm vm = new Vm(name, name + "-" + ++this.starts);
		this.vms.put(name, vm);
		vm.pollConfig();
		vm.pollClaims();
	}

	void at(long delayMs, Runnable task) {
		this.events.add(new Event(this.nowMs + delayMs, this.eventNumber++, null, task));
	}

	void runFor(long durationMs) {
		long untilMs = this.nowMs + durationMs;
		while (!this.events.isEmpty() && this.events.peek().atMs() <= untilMs) {
			Event event = this.events.poll();
			this.nowMs = Math.max(this.nowMs, event.atMs());
			Vm vm = event.vm();
			if (vm != null && vm.pausedUntilMs > this.nowMs) {
				this.events.add(new Event(vm.pausedUntilMs, event.number(), vm, event.task()));
			}
			else if (vm == null || !vm.stopped) {
				event.task().run();
			}
		}
		this.nowMs = untilMs;
	}

	long violations() {
		return this.metrics.getCounters((name, metric) -> name.endsWith("invariant_violations"))
			.values()
			.stream()
			.mapToLong((counter) -> counter.getCount())
			.sum();
	}

	private record Event(long atMs, long number, Vm vm, Runnable task) {
	}

	/**
	 * One incarnation of an entry VM.
	 */
	final class Vm implements MemberDirectory {

		final String name;

		final String incarnation;

		final LogConfigService config;

		final LogClaimService claims;

		long pausedUntilMs;

		boolean stopped;

		Vm(String name, String incarnation) {
			this.name = name;
			this.incarnation = incarnation;
			ServiceIdentity identity = new ServiceIdentity(name, incarnation, "domain-" + name);
			PlatformLog client = SimulatedVms.this.log.clientOf(name);
			this.config = new LogConfigService(client, identity, new ConfigSettings(1_000, 5_000, 20, 200),
					SimulatedVms.this::now, this::schedule, SimulatedVms.this.metrics);
			this.claims = new LogClaimService(client, () -> new Peers(this), this, identity, LIFETIME_MS,
					SimulatedVms.this::now, this::schedule, SimulatedVms.this.metrics);
		}

		void schedule(long delayMs, Runnable task) {
			SimulatedVms.this.events.add(new Event(now() + delayMs, SimulatedVms.this.eventNumber++, this, task));
		}

		void pauseFor(long durationMs) {
			// A shorter pause must not end the current one early: events are already
			// deferred to its end.
			this.pausedUntilMs = Math.max(this.pausedUntilMs, now() + durationMs);
		}

		boolean isRunning() {
			return !this.stopped && this.pausedUntilMs <= now();
		}

		@Override
		public Collection<String> vms() {
			Set<String> known = new HashSet<>(this.config.vms());
			// Every VM of the simulation is listed in the settings of the others.
			known.addAll(SimulatedVms.this.vms.keySet());
			return this.config.vms().isEmpty() ? Set.of() : known;
		}

		@Override
		public long lastRemovalAtMs() {
			return this.config.lastRemovalAtMs();
		}

		private void pollConfig() {
			this.config.poll();
			schedule(10, this::pollConfig);
		}

		private void pollClaims() {
			this.claims.poll();
			schedule(5, this::pollClaims);
		}

	}

	/**
	 * Peer connections of one VM to the others.
	 */
	private final class Peers implements PeerNetwork {

		private final Vm from;

		Peers(Vm from) {
			this.from = from;
		}

		@Override
		public CompletableFuture<Optional<RecordedOutcome>> queryOutcome(String incarnation, ClaimKey key,
				long waitMs) {
			CompletableFuture<Optional<RecordedOutcome>> reply = new CompletableFuture<>();
			this.from.schedule(waitMs, () -> reply.complete(Optional.empty()));
			for (Vm vm : SimulatedVms.this.vms.values()) {
				if (vm.incarnation.equals(incarnation) && isReachable(vm)) {
					vm.claims.answerOutcomeQuery(key, waitMs)
						.thenAccept((outcome) -> this.from.schedule(1, () -> reply.complete(outcome)));
				}
			}
			return reply;
		}

		@Override
		public CompletableFuture<Map<String, KeyState>> queryKey(Collection<String> names, ClaimKey key, long waitMs) {
			CompletableFuture<Map<String, KeyState>> reply = new CompletableFuture<>();
			Map<String, KeyState> states = new HashMap<>();
			for (String name : names) {
				Vm vm = SimulatedVms.this.vms.get(name);
				if (vm != null && isReachable(vm)) {
					states.put(name, vm.claims.answerKeyQuery(key));
				}
			}
			this.from.schedule((states.size() == names.size()) ? 2 : waitMs, () -> reply.complete(states));
			return reply;
		}

		@Override
		public void broadcastCrashReports(Map<String, List<String>> fingerprints) {
			// Not part of these tests.
		}

		@Override
		public void close() {
			// There is nothing to close.
		}

		private boolean isReachable(Vm vm) {
			return vm.isRunning() && !SimulatedVms.this.partitioned.contains(vm.name)
					&& !SimulatedVms.this.partitioned.contains(this.from.name);
		}

	}

}
