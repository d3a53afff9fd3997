package org.fulmargap.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Plays several VMs that send to one brittle endpoint, which lets nothing wait, and know
 * of each other by late reports.
 */
class BrittleLimitsProperties {

	private static final long PLAY_MS = 12_000;

	private static final long STEP_MS = 5;

	private static final long CALL_MS = 100;

	private static final long REPORT_INTERVAL_MS = 250;

	private static final EndpointProcess PROCESS = new EndpointProcess("e", 5);

	@Property(tries = 300)
	void rejectionsStayWithinTheNamedNumberWhileTheDemandOfEachVmChanges(@ForAll @IntRange(min = 1, max = 40) int vms,
			@ForAll @IntRange(min = 1, max = 24) int slots, @ForAll @IntRange(min = 0, max = 12) int survived,
			@ForAll long seed) {
		Play play = new Play(vms, slots, survived, seed);
		play.run(4, 0);
		assertThat(play.mostInSecond()).isLessThanOrEqualTo(survived);
	}

	@Property(tries = 50)
	void mostSlotsAreUsedWhenEachVmHasOneAndEnoughRequests(@ForAll @IntRange(min = 1, max = 8) int vms,
			@ForAll @IntRange(min = 8, max = 24) int slots, @ForAll @IntRange(min = 1, max = 12) int survived,
			@ForAll long seed) {
		Play play = new Play(vms, slots, survived, seed);
		play.run(4, 4);
		double possible = slots * PLAY_MS / (double) CALL_MS;
		assertThat(play.served / possible).isGreaterThan(0.6);
	}

	private static final class Play {

		private final List<Vm> vms = new ArrayList<>();

		private final List<Call> calls = new ArrayList<>();

		private final List<Report> reports = new ArrayList<>();

		private final List<Long> rejections = new ArrayList<>();

		private final Random random;

		private final int slots;

		private int running;

		private int served;

		private Play(int vmCount, int slots, int survived, long seed) {
			this.random = new Random(seed);
			this.slots = slots;
			for (int i = 0; i < vmCount; i++) {
				this.vms.add(new Vm("vm-" + i, new FleetPosition(i, vmCount), slots, survived));
			}
		}

		// The demand is a multiple of what the endpoint can do, for all VMs together.
		private void run(double highest, double lowest) {
			for (long nowMs = 0; nowMs < PLAY_MS; nowMs += STEP_MS) {
				endCalls(nowMs);
				report(nowMs);
				for (Vm vm : this.vms) {
					if (nowMs % 1_000 == 0) {
						vm.demand = lowest + this.random.nextDouble() * (highest - lowest);
					}
					double share = vm.demand * this.slots * STEP_MS / CALL_MS / this.vms.size();
					vm.due = Math.min(Math.max(1, share), vm.due + share * 2 * this.random.nextDouble());
					for (; vm.due >= 1; vm.due--) {
						send(vm, nowMs);
					}
				}
			}
		}

		private void send(Vm vm, long nowMs) {
			if (vm.limits.sendable(List.of(vm.endpoint), nowMs).isEmpty()) {
				return;
			}
			vm.endpoint.started(Prompt.NONE, 0, nowMs);
			long arrivesAtMs = nowMs + STEP_MS * this.random.nextInt(3);
			this.calls.add(new Call(vm, arrivesAtMs));
		}

		private void endCalls(long nowMs) {
			for (Call call : List.copyOf(this.calls)) {
				if (call.endsAtMs == nowMs) {
					this.running--;
				}
				if (call.arrivesAtMs == nowMs) {
					call.accepted = this.running < this.slots;
					this.running += (call.accepted) ? 1 : 0;
					call.endsAtMs = (call.accepted) ? nowMs + CALL_MS / 2 + STEP_MS * this.random.nextInt(21) : -1;
					call.answeredAtMs = ((call.accepted) ? call.endsAtMs : nowMs) + STEP_MS * this.random.nextInt(3);
					if (!call.accepted) {
						this.rejections.add(nowMs);
					}
				}
				if (call.answeredAtMs == nowMs) {
					answered(call, nowMs);
				}
			}
		}

		private void answered(Call call, long nowMs) {
			this.calls.remove(call);
			call.vm.endpoint.ended();
			if (call.accepted) {
				this.served++;
			}
			else {
				call.vm.limits.rejected(call.vm.endpoint, nowMs);
			}
		}

		private void report(long nowMs) {
			for (Vm vm : this.vms) {
				if (nowMs >= vm.nextReportAtMs) {
					vm.nextReportAtMs = nowMs + REPORT_INTERVAL_MS;
					long readAtMs = nowMs + this.random.nextInt((int) REPORT_INTERVAL_MS);
					this.reports.add(new Report(vm, vm.endpoint.ownInFlight(), readAtMs));
				}
			}
			for (Report report : List.copyOf(this.reports)) {
				if (nowMs >= report.readAtMs) {
					this.reports.remove(report);
					this.vms.stream()
						.filter((vm) -> vm != report.sender)
						.forEach((vm) -> vm.endpoint.recordReport(report.sender.name,
								new PeerLoad(report.inFlight, 0, nowMs)));
				}
			}
		}

		private int mostInSecond() {
			int most = 0;
			for (long endMs : this.rejections) {
				most = Math.max(most,
						(int) this.rejections.stream().filter((atMs) -> atMs > endMs - 1_000 && atMs <= endMs).count());
			}
			return most;
		}

	}

	private static final class Vm {

		private final String name;

		private final BrittleLimits limits;

		private final Endpoint endpoint;

		private double demand;

		private double due;

		private long nextReportAtMs;

		private Vm(String name, FleetPosition position, int slots, int survived) {
			this.name = name;
			this.limits = new BrittleLimits((endpoint, nowMs) -> position);
			EndpointDirectory directory = new EndpointDirectory();
			directory.put(new EndpointRecord("e", "service", "10.0.0.1:80", "a", slots, false, 0, 5), 0);
			directory.recordBrittle(PROCESS, new Brittleness(survived, 0));
			this.endpoint = directory.find("e").orElseThrow();
		}

	}

	private static final class Call {

		private final Vm vm;

		private final long arrivesAtMs;

		private long endsAtMs = -1;

		private long answeredAtMs = -1;

		private boolean accepted;

		private Call(Vm vm, long arrivesAtMs) {
			this.vm = vm;
			this.arrivesAtMs = arrivesAtMs + STEP_MS;
		}

	}

	private record Report(Vm sender, int inFlight, long readAtMs) {
	}

}
