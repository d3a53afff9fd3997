package org.fulmargap.bench;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;

import org.fulmargap.bench.RunStatistics.Outcome;
import org.fulmargap.bench.Workload.Request;
import org.fulmargap.config.Configuration;
import org.fulmargap.config.PipelineSpec;
import org.fulmargap.routing.LoadReport;

/**
 * One simulation run in virtual time, with endpoints, entry VMs, arriving requests and
 * faults.
 */
final class Simulation {

	private static final long HEARTBEAT_MS = 500;

	private static final long LOAD_POLL_MS = 500;

	private static final long ADMISSION_UPDATE_MS = 100;

	/**
	 * Time from the order that takes a failure domain out of service until its endpoints
	 * stop; longer than the deadline of requests.
	 */
	private static final long DRAIN_MS = 5_000;

	private static final int MAX_RESENDS = 20;

	private static final long RESEND_DELAY_MS = 300;

	private static final int CRASHING_REQUEST_ID = 1_000_000;

	private final VirtualClock clock = new VirtualClock();

	private final Configuration configuration = Workload.configuration();

	private final Map<String, FakeEndpoint> endpoints = new TreeMap<>();

	private final List<EntryVm> vms = new ArrayList<>();

	private final RunStatistics statistics;

	private final SplittableRandom random;

	private final long durationMs;

	private boolean logAvailable = true;

	Simulation(Policy policy, long seed, long durationMs) {
		this.durationMs = durationMs;
		this.statistics = new RunStatistics(durationMs);
		this.random = new SplittableRandom(seed ^ 0x5eed);
		this.configuration.endpoints()
			.forEach((name, spec) -> this.endpoints.put(name,
					new FakeEndpoint(this.clock, name, spec, this.statistics)));
		for (int i = 0; i < Workload.ENTRY_VMS; i++) {
			this.vms.add((policy == Policy.BASELINE) ? new BaselineVm(this) : new PolicyVm(this, i, seed));
		}
	}

	VirtualClock clock() {
		return this.clock;
	}

	Configuration configuration() {
		return this.configuration;
	}

	boolean isLogAvailable() {
		return this.logAvailable;
	}

	FakeEndpoint endpoint(String name) {
		return this.endpoints.get(name);
	}

	PipelineSpec pipeline(Request request) {
		return this.configuration.pipelines().get(request.pipeline());
	}

	static String vmName(int index) {
		return "vm-" + index;
	}

	List<String> vmNames() {
		List<String> names = new ArrayList<>();
		for (int i = 0; i < Workload.ENTRY_VMS; i++) {
			names.add(vmName(i));
		}
		return names;
	}

	void forEachPolicyVm(Consumer<PolicyVm> action) {
		for (EntryVm vm : this.vms) {
			if (vm instanceof PolicyVm policyVm) {
				action.accept(policyVm);
			}
		}
	}

	RunStatistics run(Scenario scenario, List<Request> requests) {
		for (Request request : requests) {
			this.clock.scheduleAt(request.atMs(), () -> {
				this.statistics.recordArrival(request);
				this.vms.get(request.vm())
					.submit(request, (outcome) -> this.statistics.recordOutcome(request, outcome));
			});
		}
		this.endpoints.values().forEach((endpoint) -> endpoint.setLosesAnswers(scenario.losesAnswers()));
		scheduleFaults(scenario);
		this.clock.scheduleEvery(ADMISSION_UPDATE_MS, this.durationMs + Workload.DEADLINE_MS,
				() -> forEachPolicyVm(PolicyVm::updateAdmission));
		this.clock.scheduleEvery(HEARTBEAT_MS, this.durationMs, () -> forEachPolicyVm(
				(vm) -> forEachPolicyVm((peer) -> this.clock.scheduleAfter(1, () -> vm.sendHeartbeat(peer)))));
		this.clock.scheduleEvery(LOAD_POLL_MS, this.durationMs, this::pollLoad);
		this.clock.run();
		return this.statistics;
	}

	private void pollLoad() {
		for (FakeEndpoint endpoint : this.endpoints.values()) {
			if (Workload.reportsLoad(endpoint.name())) {
				forEachPolicyVm((vm) -> {
					LoadReport report = endpoint.loadReport();
					this.clock.scheduleAfter(this.random.nextInt(100, 400),
							() -> vm.receiveLoadReport(endpoint.name(), report));
				});
			}
		}
	}

	private void scheduleFaults(Scenario scenario) {
		long third = this.durationMs / 3;
		switch (scenario) {
			case SLOW_ENDPOINT -> {
				this.clock.scheduleAt(this.durationMs / 4, () -> endpoint("generate-0").setSlowdownFactor(10));
				this.clock.scheduleAt(3 * this.durationMs / 4, () -> endpoint("generate-0").setSlowdownFactor(1));
			}
			case COLD_AGAIN -> this.clock.scheduleAt(third, () -> {
				endpoint("generate-0").becomeCold();
				endpoint("generate-4").becomeCold();
			});
			case DOMAIN_OUT_AND_BACK -> scheduleDomainOutage(third);
			case LOG_OUT -> {
				this.clock.scheduleAt(third, () -> this.logAvailable = false);
				this.clock.scheduleAt(2 * third, () -> this.logAvailable = true);
			}
			case CRASHING_REQUEST -> this.clock.scheduleAt(third, () -> sendCrashingRequest(MAX_RESENDS));
			default -> {
			}
		}
	}

	private void scheduleDomainOutage(long third) {
		Set<String> unavailable = new HashSet<>();
		this.endpoints.values().forEach((endpoint) -> {
			if (endpoint.spec().failureDomain().equals("b")) {
				unavailable.add(endpoint.name());
				this.clock.scheduleAt(third + DRAIN_MS, endpoint::stop);
				this.clock.scheduleAt(2 * third - 1_000, endpoint::start);
			}
		});
		for (EntryVm vm : this.vms) {
			this.clock.scheduleAt(third + this.random.nextInt(1, 50), () -> vm.setUnavailableEndpoints(unavailable));
			this.clock.scheduleAt(2 * third + this.random.nextInt(1, 50), () -> vm.setUnavailableEndpoints(Set.of()));
		}
	}

	private void sendCrashingRequest(int resendsLeft) {
		Request request = new Request(CRASHING_REQUEST_ID + resendsLeft, this.clock.nowMs(), "account-2", 1, "chat",
				true, "prefix-0", 800, 1_000, 40, this.random.nextInt(Workload.ENTRY_VMS), 100, false, true);
		this.vms.get(request.vm()).submit(request, (outcome) -> {
			if (outcome != Outcome.ANSWERED && resendsLeft > 0) {
				this.clock.scheduleAfter(RESEND_DELAY_MS, () -> sendCrashingRequest(resendsLeft - 1));
			}
		});
	}

	/**
	 * Policy that the entry VMs apply.
	 */
	enum Policy {

		/** Routing and admission by the classes of module core. */
		FULMARGAP,

		/** Round robin without admission control; see {@link BaselineVm}. */
		BASELINE;

		String label() {
			return name().toLowerCase(java.util.Locale.ROOT);
		}

	}

}
