package org.fulmargap.standin;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The list of VMs, which shows the state of some time ago.
 */
final class VmList {

	private static final Set<String> STATES = Set.of("live", "leaving");

	private final long lagMs;

	private final Deque<Reading> readings = new ArrayDeque<>();

	VmList(long lagMs) {
		this.lagMs = lagMs;
		this.readings.add(new Reading(0, List.of()));
	}

	synchronized void set(List<Vm> vms, long nowMs) {
		this.readings.addLast(new Reading(nowMs, List.copyOf(vms)));
	}

	synchronized Reading read(long nowMs) {
		while (this.readings.size() > 1 && second().observedAtMs() <= nowMs - this.lagMs) {
			this.readings.removeFirst();
		}
		return new Reading(nowMs - this.lagMs, this.readings.getFirst().vms());
	}

	private Reading second() {
		return this.readings.stream().skip(1).findFirst().orElseThrow();
	}

	/**
	 * One VM of the list.
	 *
	 * @param vm the name of the VM
	 * @param state {@code live} or {@code leaving}
	 */
	record Vm(@JsonProperty("vm") String vm, @JsonProperty("state") String state) {

		Vm {
			if (vm == null || !STATES.contains(state)) {
				throw new IllegalArgumentException("a VM needs a name and one of the states " + STATES);
			}
		}

	}

	/**
	 * The list as it was at one time.
	 *
	 * @param observedAtMs when the list was like this, milliseconds since the epoch
	 * @param vms the VMs
	 */
	record Reading(@JsonProperty("observed_at_ms") long observedAtMs, @JsonProperty("vms") List<Vm> vms) {
	}

}
