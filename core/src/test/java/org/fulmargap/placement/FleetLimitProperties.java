package org.fulmargap.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.fulmargap.fleet.FleetMember;
import org.fulmargap.fleet.FleetView;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks with several VMs and random orders of answers, reports, restarts, freezes and
 * cuts that an endpoint gets no more requests than the users' rule allows for the limit
 * that it names, also when it names it again after it ended, and that its limit is used
 * when there is demand.
 */
class FleetLimitProperties {

	private static final String ENDPOINT = "e";

	private static final long DAY_MS = 60_000;

	/** How long the demand of a disturbed fleet pauses, and how long it lasts. */
	private static final long BURST_MS = 8_000;

	private static final long WINDOW_MS = 4_000;

	/** When the endpoint names its limit first. */
	private static final long NAMED_MS = 3_000;

	/** When it names its limit no longer. */
	private static final long ENDED_MS = 30_000;

	/** When it names its limit again. */
	private static final long NAMED_AGAIN_MS = 38_000;

	private static final long TOLD_MS = 500;

	private static final long CONTACT_MS = 3_000;

	private static final double[] LIMITS = { 0, 0.3, 1, 1, 2.5, 10, 40 };

	@Property(tries = 150, seed = "31")
	void vmsTogetherStayWithinALimitWhateverHappensToSomeOfThem(
			@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
		Model model = new Model(new Random(seed), true);
		model.run();
		model.check();
	}

	@Property(tries = 60, seed = "32")
	void moreThanHalfOfALimitIsUsedByACalmFleet(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
		Model model = new Model(new Random(seed), false);
		model.run();
		model.check();
		long fromMs = NAMED_MS + 8_000;
		long used = model.arrivals.stream()
			.filter((arrival) -> arrival.atMs() >= fromMs && arrival.atMs() < ENDED_MS)
			.count();
		double expected = LimitShares.usablePerSecond(model.limit) * (ENDED_MS - fromMs) / 1_000;
		assertThat(used).as("limit %s", model.limit).isGreaterThanOrEqualTo((long) Math.floor(expected * 0.55) - 1);
	}

	private record Arrival(long atMs, int vm) {
	}

	private record Event(long atMs, long order, Runnable action) {
	}

	/**
	 * An endpoint, the VMs that send to it as often as they may, and the messages on
	 * their way. An answer or message that reaches a frozen VM waits.
	 */
	private static final class Model {

		private final Random random;

		private final boolean disturbed;

		private final PriorityQueue<Event> events = new PriorityQueue<>(
				Comparator.comparingLong(Event::atMs).thenComparingLong(Event::order));

		private final List<ModelVm> vms = new ArrayList<>();

		private final List<Arrival> arrivals = new ArrayList<>();

		private final Map<Integer, Long> toldAtMs = new HashMap<>();

		private final double limit;

		private final double demandPerSecond;

		private long nowMs;

		private long order;

		private Model(Random random, boolean disturbed) {
			this.random = random;
			this.disturbed = disturbed;
			this.limit = LIMITS[random.nextInt(LIMITS.length)];
			this.demandPerSecond = 2 + this.limit * 2;
			int count = 1 + random.nextInt(9);
			for (int i = 0; i < count; i++) {
				this.vms.add(new ModelVm(this, i));
			}
		}

		private void run() {
			this.vms.forEach((vm) -> vm.start(this.vms.size()));
			for (this.nowMs = 0; this.nowMs < DAY_MS; this.nowMs += 10) {
				while (!this.events.isEmpty() && this.events.peek().atMs() <= this.nowMs) {
					this.events.poll().action().run();
				}
				for (ModelVm vm : this.vms) {
					if (this.disturbed && this.random.nextInt(1_500 * this.vms.size()) == 0) {
						vm.disturb();
					}
					vm.step();
				}
			}
		}

		// After a pause all buckets are full at once.
		private double demandPerSecond() {
			boolean pauses = this.disturbed && this.nowMs / BURST_MS % 2 == 1;
			return (pauses) ? 0 : this.demandPerSecond;
		}

		private void later(long delayMs, Runnable action) {
			this.events.add(new Event(this.nowMs + delayMs, this.order++, action));
		}

		private void request(ModelVm vm) {
			long sentAtMs = this.nowMs;
			int incarnation = vm.incarnation;
			later(1 + this.random.nextInt(10), () -> {
				this.arrivals.add(new Arrival(this.nowMs, vm.index));
				// A slow answer was begun before the endpoint was in need.
				double named = (isNamed()) ? this.limit : NamedLimit.UNLIMITED;
				int slowest = (this.random.nextInt(10) == 0) ? 2_000 : 150;
				later(1 + this.random.nextInt(slowest), () -> answer(vm, incarnation, sentAtMs, named));
			});
		}

		private boolean isNamed() {
			return (this.nowMs >= NAMED_MS && this.nowMs < ENDED_MS) || this.nowMs >= NAMED_AGAIN_MS;
		}

		private void answer(ModelVm vm, int incarnation, long sentAtMs, double named) {
			if (vm.incarnation != incarnation) {
				return;
			}
			if (this.nowMs < vm.frozenUntilMs) {
				later(vm.frozenUntilMs - this.nowMs, () -> answer(vm, incarnation, sentAtMs, named));
				return;
			}
			EndpointProcess process = new EndpointProcess(ENDPOINT, 1);
			if (named == NamedLimit.UNLIMITED) {
				vm.directory.recordNoLimit(process, vm.clockMs(sentAtMs), vm.clockMs(this.nowMs));
			}
			else {
				this.toldAtMs.putIfAbsent(vm.index, this.nowMs);
				vm.directory.recordLimit(process, new NamedLimit(named, vm.clockMs(this.nowMs)));
			}
		}

		// The users' rule, at the end of each window with a request of a VM that counts.
		private void check() {
			long firstMs = this.toldAtMs.values().stream().mapToLong(Long::longValue).min().orElse(DAY_MS);
			check(firstMs, firstMs + CONTACT_MS, ENDED_MS);
			check(NAMED_AGAIN_MS + TOLD_MS, NAMED_AGAIN_MS + CONTACT_MS, DAY_MS);
		}

		private void check(long fromMs, long boundFromMs, long untilMs) {
			double allowed = 1.5 * this.limit * WINDOW_MS / 1_000 + 5;
			List<Long> counted = this.arrivals.stream()
				.filter((arrival) -> arrival.atMs() >= fromMs && arrival.atMs() < untilMs)
				.filter(this::isCounted)
				.map(Arrival::atMs)
				.toList();
			int begin = 0;
			for (int end = 0; end < counted.size(); end++) {
				while (counted.get(begin) <= counted.get(end) - WINDOW_MS) {
					begin++;
				}
				if (counted.get(end) >= boundFromMs) {
					assertThat((double) (end - begin + 1))
						.as("limit %s, %s VMs, window to %s", this.limit, this.vms.size(), counted.get(end))
						.isLessThanOrEqualTo(allowed);
				}
			}
		}

		private boolean isCounted(Arrival arrival) {
			return arrival.atMs() - TOLD_MS >= this.toldAtMs.getOrDefault(arrival.vm(), DAY_MS)
					&& !this.vms.get(arrival.vm()).isExcused(arrival.atMs());
		}

	}

	/**
	 * A VM with a clock of its own and what it knows of the fleet and the endpoint.
	 */
	private static final class ModelVm {

		private final Model model;

		private final int index;

		private final long clockOffsetMs;

		// The begins and ends of restarts, freezes and cuts.
		private final List<long[]> disturbances = new ArrayList<>();

		private FleetView fleet;

		private EndpointDirectory directory;

		private EndpointLimits limits;

		private int incarnation;

		private long frozenUntilMs;

		private long cutUntilMs;

		private ModelVm(Model model, int index) {
			this.model = model;
			this.index = index;
			this.clockOffsetMs = model.random.nextInt(1_000_000);
		}

		private long clockMs(long trueMs) {
			return trueMs + this.clockOffsetMs;
		}

		private void start(int count) {
			this.incarnation++;
			long nowMs = clockMs(this.model.nowMs);
			this.fleet = new FleetView(member(this.index));
			for (int other = 0; other < count; other++) {
				this.fleet.put(member(other), nowMs);
			}
			this.directory = new EndpointDirectory();
			this.directory.put(new EndpointRecord(ENDPOINT, "s", "10.0.0.1:80", "a", 8, false, 0, 1), nowMs);
			FleetView newFleet = this.fleet;
			this.limits = new EndpointLimits(newFleet::limitShare);
		}

		private static FleetMember member(int index) {
			return new FleetMember("vm-" + index, "10.0.1." + index + ":80", "a", 1);
		}

		private void disturb() {
			long nowMs = this.model.nowMs;
			long untilMs = nowMs + 200 + this.model.random.nextInt(4_000);
			int kind = this.model.random.nextInt(3);
			if (kind == 0) {
				untilMs = nowMs + 500 + this.model.random.nextInt(25_000);
				this.cutUntilMs = untilMs;
			}
			else {
				this.frozenUntilMs = untilMs;
			}
			if (kind == 1) {
				start(this.model.vms.size());
			}
			this.disturbances.add(new long[] { nowMs, untilMs });
		}

		private boolean isExcused(long atMs) {
			return this.disturbances.stream()
				.anyMatch((disturbance) -> atMs >= disturbance[0] && atMs < disturbance[1] + CONTACT_MS);
		}

		private void step() {
			long nowMs = this.model.nowMs;
			if (nowMs < this.frozenUntilMs) {
				return;
			}
			if ((nowMs / 10 + this.index * 3L) % 25 == 0) {
				this.model.vms.forEach(this::heartbeat);
			}
			if (this.model.random.nextDouble() < this.model.demandPerSecond() / 100) {
				List<Endpoint> sendable = this.limits.sendable(this.directory.available("s", clockMs(nowMs)), 0,
						clockMs(nowMs));
				if (!sendable.isEmpty()) {
					this.limits.sent(sendable.get(0), 0);
					this.model.request(this);
				}
			}
		}

		private void heartbeat(ModelVm receiver) {
			if (receiver == this || this.model.nowMs < this.cutUntilMs) {
				return;
			}
			Map<EndpointProcess, Long> ages = new HashMap<>();
			Map<EndpointProcess, NamedLimit> reported = this.directory.limits(clockMs(this.model.nowMs));
			reported.forEach((process, named) -> ages.put(process, clockMs(this.model.nowMs) - named.observedAtMs()));
			int receiving = receiver.incarnation;
			this.model.later(1 + this.model.random.nextInt(40),
					() -> receiver.received(this, reported, ages, receiving));
		}

		private void received(ModelVm sender, Map<EndpointProcess, NamedLimit> reported,
				Map<EndpointProcess, Long> ages, int receiving) {
			long nowMs = this.model.nowMs;
			if (nowMs < this.cutUntilMs || receiving != this.incarnation) {
				return;
			}
			if (nowMs < this.frozenUntilMs) {
				this.model.later(this.frozenUntilMs - nowMs, () -> received(sender, reported, ages, receiving));
				return;
			}
			this.fleet.confirm("vm-" + sender.index, false, clockMs(nowMs));
			reported.forEach((process, named) -> this.directory.recordLimit(process,
					new NamedLimit(named.perSecond(), clockMs(nowMs) - ages.get(process))));
		}

	}

}
