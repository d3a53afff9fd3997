package org.fulmargap.bench;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;

import org.fulmargap.bench.Tally.Outcome;
import org.fulmargap.bench.Workload.Request;
import org.fulmargap.config.Configuration;
import org.fulmargap.config.PipelineSpec;
import org.fulmargap.routing.LoadReport;

/**
 * One run: endpoints, entry VMs, arrivals and faults in virtual time.
 */
final class World {

	private static final long HEARTBEAT_MS = 500;

	private static final long POLL_MS = 500;

	private static final long TICK_MS = 100;

	/** The time from an order to the stop of the endpoints; longer than the deadline. */
	private static final long DRAIN_MS = 5_000;

	private static final int RESENDS = 20;

	private static final long RESEND_MS = 300;

	private static final int CRASHING_ID = 1_000_000;

	private final Clock clock = new Clock();

	private final Configuration configuration = Workload.configuration();

	private final Map<String, FakeEndpoint> endpoints = new TreeMap<>();

	private final List<EntryVm> vms = new ArrayList<>();

	private final Tally tally;

	private final SplittableRandom random;

	private final long durationMs;

	private boolean logUp = true;

	World(Policy policy, long seed, long durationMs) {
		this.durationMs = durationMs;
		this.tally = new Tally(durationMs);
		this.random = new SplittableRandom(seed ^ 0x5eed);
		this.configuration.endpoints()
			.forEach((name, spec) -> this.endpoints.put(name, new FakeEndpoint(this.clock, name, spec, this.tally)));
		for (int i = 0; i < Workload.ENTRY_VMS; i++) {
			this.vms.add((policy == Policy.BASELINE) ? new BaselineVm(this) : new PolicyVm(this, i, seed));
		}
	}

	Clock clock() {
		return this.clock;
	}

	Configuration configuration() {
		return this.configuration;
	}

	boolean isLogUp() {
		return this.logUp;
	}

	FakeEndpoint endpoint(String name) {
		return this.endpoints.get(name);
	}

	PipelineSpec pipeline(Request request) {
		return this.configuration.pipelines().get(request.pipeline());
	}

	static String vm(int index) {
		return "vm-" + index;
	}

	List<String> vmNames() {
		List<String> names = new ArrayList<>();
		for (int i = 0; i < Workload.ENTRY_VMS; i++) {
			names.add(vm(i));
		}
		return names;
	}

	void policyVms(Consumer<PolicyVm> action) {
		for (EntryVm vm : this.vms) {
			if (vm instanceof PolicyVm policyVm) {
				action.accept(policyVm);
			}
		}
	}

	Tally run(Scenario scenario, List<Request> requests) {
		for (Request request : requests) {
			this.clock.at(request.atMs(), () -> {
				this.tally.arrived(request);
				this.vms.get(request.vm()).submit(request, (outcome) -> this.tally.ended(request, outcome));
			});
		}
		this.endpoints.values().forEach((endpoint) -> endpoint.setLosesAnswers(scenario.losesAnswers()));
		schedule(scenario);
		this.clock.every(TICK_MS, this.durationMs + Workload.DEADLINE_MS, () -> policyVms(PolicyVm::tick));
		this.clock.every(HEARTBEAT_MS, this.durationMs,
				() -> policyVms((vm) -> policyVms((peer) -> this.clock.after(1, () -> vm.heartbeat(peer)))));
		this.clock.every(POLL_MS, this.durationMs, this::poll);
		this.clock.run();
		return this.tally;
	}

	private void poll() {
		for (FakeEndpoint endpoint : this.endpoints.values()) {
			if (Workload.reportsLoad(endpoint.name())) {
				policyVms((vm) -> {
					LoadReport report = endpoint.report();
					this.clock.after(this.random.nextInt(100, 400), () -> vm.polled(endpoint.name(), report));
				});
			}
		}
	}

	private void schedule(Scenario scenario) {
		long third = this.durationMs / 3;
		switch (scenario) {
			case SLOW_ENDPOINT -> {
				this.clock.at(this.durationMs / 4, () -> endpoint("generate-0").setSlowness(10));
				this.clock.at(3 * this.durationMs / 4, () -> endpoint("generate-0").setSlowness(1));
			}
			case COLD_AGAIN -> this.clock.at(third, () -> {
				endpoint("generate-0").becomeCold();
				endpoint("generate-4").becomeCold();
			});
			case DOMAIN_OUT_AND_BACK -> scheduleDomainOut(third);
			case LOG_OUT -> {
				this.clock.at(third, () -> this.logUp = false);
				this.clock.at(2 * third, () -> this.logUp = true);
			}
			case CRASHING_REQUEST -> this.clock.at(third, () -> sendCrashing(RESENDS));
			default -> {
			}
		}
	}

	private void scheduleDomainOut(long third) {
		Set<String> out = new HashSet<>();
		this.endpoints.values().forEach((endpoint) -> {
			if (endpoint.spec().failureDomain().equals("b")) {
				out.add(endpoint.name());
				this.clock.at(third + DRAIN_MS, endpoint::stop);
				this.clock.at(2 * third - 1_000, endpoint::start);
			}
		});
		for (EntryVm vm : this.vms) {
			this.clock.at(third + this.random.nextInt(1, 50), () -> vm.update(out));
			this.clock.at(2 * third + this.random.nextInt(1, 50), () -> vm.update(Set.of()));
		}
	}

	private void sendCrashing(int resends) {
		Request request = new Request(CRASHING_ID + resends, this.clock.nowMs(), "account-2", 1, "chat", true,
				"prefix-0", 800, 1_000, 40, this.random.nextInt(Workload.ENTRY_VMS), 100, false, true);
		this.vms.get(request.vm()).submit(request, (outcome) -> {
			if (outcome != Outcome.ANSWERED && resends > 0) {
				this.clock.after(RESEND_MS, () -> sendCrashing(resends - 1));
			}
		});
	}

	/**
	 * What the entry VMs do.
	 */
	enum Policy {

		/** The classes of module core. */
		FULMARGAP,

		/** Round robin without admission control. */
		BASELINE;

		String label() {
			return name().toLowerCase(java.util.Locale.ROOT);
		}

	}

}
