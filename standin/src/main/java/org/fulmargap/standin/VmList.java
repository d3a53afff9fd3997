package org.fulmargap.standin;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * VM list of the platform. Reads return the list as it was a fixed time ago.
 */
final class VmList {

	private static final Set<String> STATES = Set.of("live", "leaving");

	private final long lagMs;

	private final Deque<Snapshot> snapshots = new ArrayDeque<>();

	VmList(long lagMs) {
		this.lagMs = lagMs;
		this.snapshots.add(new Snapshot(0, List.of()));
	}

	synchronized void set(List<Vm> vms, long nowMs) {
		this.snapshots.addLast(new Snapshot(nowMs, List.copyOf(vms)));
	}

	synchronized Snapshot read(long nowMs) {
		while (this.snapshots.size() > 1 && secondSnapshot().observedAtMs() <= nowMs - this.lagMs) {
			this.snapshots.removeFirst();
		}
		return new Snapshot(nowMs - this.lagMs, this.snapshots.getFirst().vms());
	}

	private Snapshot secondSnapshot() {
		return this.snapshots.stream().skip(1).findFirst().orElseThrow();
	}

	/**
	 * A VM of the list.
	 *
	 * @param vm the name of the VM
	 * @param state {@code live} or {@code leaving}
	 */
	record Vm(@JsonProperty("vm") String vm, @JsonProperty("state") String state) {

		Vm {
			if (vm == null || !STATES.contains(state)) {
				throw new IllegalArgumentException("vm is required and state must be one of " + STATES);
			}
		}

	}

	/**
	 * The list at a point in time.
	 *
	 * @param observedAtMs the point in time, in milliseconds since the epoch
	 * @param vms the VMs
	 */
	record Snapshot(@JsonProperty("observed_at_ms") long observedAtMs, @JsonProperty("vms") List<Vm> vms) {
	}

}
