package org.fulmargap.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;

/**
 * Seeded requests of two failure domains with plain endpoints. Each VM of domain 0
 * decides on reports that reach it late; the VMs of domain 1 send nothing elsewhere.
 */
final class DomainTraffic {

	static final int STEP_MS = 10;

	private static final int HEARTBEAT_MS = 250;

	/** The mean time of a call, in milliseconds. */
	private static final double CALL_MS = 40;

	private final Random random;

	// By domain.
	private final DomainSpill[][] vms;

	private final int[] reportDelays;

	private final Domain[] domains;

	// The past numbers of requests in flight, by steps.
	private final List<int[]> history = new ArrayList<>();

	private long nowMs;

	private boolean reports = true;

	private double highestShare;

	private double highestReturn;

	DomainTraffic(long seed, int vmCount, int homeSlots, int remoteSlots) {
		this.random = new Random(seed);
		this.vms = new DomainSpill[2][vmCount];
		this.reportDelays = new int[vmCount];
		for (int i = 0; i < vmCount; i++) {
			this.vms[0][i] = new DomainSpill(false);
			this.vms[1][i] = new DomainSpill(false);
			this.reportDelays[i] = 1 + this.random.nextInt(3);
		}
		this.domains = new Domain[] { new Domain(homeSlots), new Domain(remoteSlots) };
	}

	void restart(int vm) {
		this.vms[0][vm] = new DomainSpill(false);
	}

	void reports(boolean arrive) {
		this.reports = arrive;
	}

	/**
	 * Lets requests arrive.
	 * @param load the requests of each domain per slot of the domain, in units of its
	 * throughput
	 * @return the mean time that requests of domain 0 waited, in milliseconds
	 */
	double run(long durationMs, boolean spill, double... load) {
		double waitsMs = 0;
		int requests = 0;
		for (long endMs = this.nowMs + durationMs; this.nowMs < endMs; this.nowMs += STEP_MS) {
			for (int domain = 0; domain < 2; domain++) {
				int arrivals = poisson(load[domain] * this.domains[domain].slots * STEP_MS / CALL_MS);
				for (int i = 0; i < arrivals; i++) {
					double waitMs = place(domain, spill).start(this.nowMs,
							-CALL_MS * Math.log(1 - this.random.nextDouble()));
					waitsMs += (domain == 0) ? waitMs : 0;
					requests += (domain == 0) ? 1 : 0;
				}
			}
			this.history.add(new int[] { this.domains[0].inFlight(this.nowMs), this.domains[1].inFlight(this.nowMs) });
			decide();
		}
		return waitsMs / Math.max(1, requests);
	}

	private Domain place(int domain, boolean spill) {
		DomainSpill vm = this.vms[domain][this.random.nextInt(this.reportDelays.length)];
		boolean leaves = spill && vm.mayLeave("attempt" + this.random.nextLong());
		return this.domains[(leaves) ? 1 - domain : domain];
	}

	private void decide() {
		for (int i = 0; i < this.reportDelays.length; i++) {
			if ((this.nowMs + i * STEP_MS) % HEARTBEAT_MS == 0) {
				int[] seen = this.history
					.get(Math.max(0, this.history.size() - 1 - this.reportDelays[i] * HEARTBEAT_MS / STEP_MS));
				// Without reports, a VM knows only its own requests.
				int part = (this.reports) ? 1 : this.reportDelays.length;
				DomainLoad zero = load(0, seen[0] / part);
				DomainLoad one = load(1, seen[1] / part);
				this.vms[0][i].update(zero, List.of(one), this.reports, this.nowMs);
				this.vms[1][i].update(one, List.of(zero), this.reports, this.nowMs);
				this.highestShare = Math.max(this.highestShare, this.vms[0][i].share());
				this.highestReturn = Math.max(this.highestReturn, this.vms[1][i].share());
			}
		}
	}

	private DomainLoad load(int domain, int inFlight) {
		int slots = this.domains[domain].slots;
		return new DomainLoad(slots / 4.0, slots, inFlight, 0);
	}

	private int poisson(double mean) {
		int count = 0;
		for (double left = Math.exp(-mean),
				product = this.random.nextDouble(); product > left; product *= this.random.nextDouble()) {
			count++;
		}
		return count;
	}

	double meanShare() {
		double sum = 0;
		for (DomainSpill vm : this.vms[0]) {
			sum += vm.share();
		}
		return sum / this.vms[0].length;
	}

	/**
	 * Returns the highest share of a VM at any time.
	 */
	double highestShare() {
		return this.highestShare;
	}

	/**
	 * Returns the highest share of a VM of domain 1 at any time.
	 */
	double highestReturn() {
		return this.highestReturn;
	}

	double spread() {
		double low = 1;
		double high = 0;
		for (DomainSpill vm : this.vms[0]) {
			low = Math.min(low, vm.share());
			high = Math.max(high, vm.share());
		}
		return high - low;
	}

	/**
	 * One queue for all slots of a domain.
	 */
	private static final class Domain {

		private final int slots;

		private final TreeMap<Double, Integer> freeAt = new TreeMap<>();

		private final Deque<Double> ends = new ArrayDeque<>();

		private Domain(int slots) {
			this.slots = slots;
			this.freeAt.put(0.0, slots);
		}

		private double start(double nowMs, double callMs) {
			double freeMs = this.freeAt.firstKey();
			this.freeAt.merge(freeMs, -1, (known, one) -> (known > 1) ? known - 1 : null);
			double endMs = Math.max(nowMs, freeMs) + callMs;
			this.freeAt.merge(endMs, 1, Integer::sum);
			this.ends.add(endMs);
			return Math.max(0, freeMs - nowMs);
		}

		private int inFlight(double nowMs) {
			this.ends.removeIf((endMs) -> endMs <= nowMs);
			return this.ends.size();
		}

	}

}
