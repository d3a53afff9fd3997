package org.fulmargap.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

import org.fulmargap.placement.FleetPosition;
import org.fulmargap.placement.LimitShares;

/**
 * The entry VMs as this one knows them: listed in the store, confirmed alive by their own
 * messages or by those of other VMs, reachable from here. Confined to one thread.
 */
public final class FleetView {

	/** How long a VM counts as alive after a confirmation, in milliseconds. */
	static final long CONFIRMATION_MS = 1_500;

	/** How long a VM counts as alive after it was listed, in milliseconds. */
	static final long PRESUMED_MS = 3_000;

	/**
	 * A VM counts in shared limits until this long after its last confirmation, in
	 * milliseconds: it may only be cut off and go on sending.
	 */
	static final long COUNTED_MS = 20_000;

	/**
	 * Coordinators are chosen among the VMs with at least this share of the largest
	 * capacity.
	 */
	private static final double COORDINATOR_CAPACITY = 0.6;

	private final FleetMember own;

	private final Map<String, Vm> others = new TreeMap<>();

	private final Map<String, String> coordinators = new HashMap<>();

	private boolean draining;

	/**
	 * Creates a view with this VM only.
	 * @param own this VM
	 */
	public FleetView(FleetMember own) {
		this.own = Objects.requireNonNull(own, "own");
	}

	/**
	 * Returns this VM.
	 * @return the VM
	 */
	public FleetMember own() {
		return this.own;
	}

	/**
	 * Records that this VM is shutting down: others take over what it does for them.
	 */
	public void drain() {
		this.draining = true;
		this.coordinators.clear();
	}

	/**
	 * Adds a VM or updates its record. This VM itself is ignored.
	 * @param member the VM
	 * @param nowMs the current time in milliseconds
	 */
	public void put(FleetMember member, long nowMs) {
		if (member.name().equals(this.own.name())) {
			return;
		}
		Vm known = this.others.get(member.name());
		if (known == null) {
			this.others.put(member.name(), new Vm(member, nowMs + PRESUMED_MS));
		}
		else {
			known.member = member;
		}
		this.coordinators.clear();
	}

	/**
	 * Removes a VM that has left.
	 * @param name the name of the VM
	 */
	public void remove(String name) {
		this.others.remove(name);
		this.coordinators.clear();
	}

	/**
	 * Returns the record of a VM.
	 * @param name the name of the VM
	 * @return the record, or empty if the VM is not known
	 */
	public Optional<FleetMember> find(String name) {
		return Optional.ofNullable(this.others.get(name)).map((vm) -> vm.member);
	}

	/**
	 * Records that a VM is alive. Unknown names are ignored.
	 * @param name the name of the VM
	 * @param isDraining whether it is shutting down
	 * @param nowMs the current time in milliseconds
	 */
	public void confirm(String name, boolean isDraining, long nowMs) {
		Vm vm = this.others.get(name);
		if (vm == null) {
			return;
		}
		boolean changed = !vm.isAlive(nowMs) || vm.draining != isDraining;
		vm.confirmed = true;
		vm.confirmedAtMs = nowMs;
		vm.aliveUntilMs = nowMs + CONFIRMATION_MS;
		vm.draining = isDraining;
		if (changed) {
			this.coordinators.clear();
		}
	}

	/**
	 * Records whether messages can be exchanged with a VM. One that is not reachable gets
	 * no work, even if other VMs confirm that it is alive.
	 * @param name the name of the VM
	 * @param reachable whether it is reachable
	 */
	public void reachable(String name, boolean reachable) {
		Vm vm = this.others.get(name);
		if (vm != null && vm.reachable != reachable) {
			vm.reachable = reachable;
			this.coordinators.clear();
		}
	}

	/**
	 * Returns whether a VM was confirmed alive recently.
	 * @param name the name of the VM
	 * @param nowMs the current time in milliseconds
	 * @return {@code true} if it was confirmed or listed recently
	 */
	public boolean isAlive(String name, long nowMs) {
		Vm vm = this.others.get(name);
		return vm != null && vm.isAlive(nowMs);
	}

	/**
	 * Returns whether this VM may be cut off from another failure domain: VMs are known
	 * there, but none is alive and reachable. What this VM sees of endpoints there then
	 * says little about them.
	 * @param domain the name of the failure domain
	 * @param nowMs the current time in milliseconds
	 * @return {@code true} if it may be cut off; {@code false} for its own domain and for
	 * one without VMs
	 */
	public boolean isCutOffFrom(String domain, long nowMs) {
		boolean known = false;
		for (Vm vm : this.others.values()) {
			if (vm.member.failureDomain().equals(domain) && vm.confirmed && nowMs - vm.confirmedAtMs < COUNTED_MS) {
				if (vm.isAlive(nowMs) && vm.reachable) {
					return false;
				}
				known = true;
			}
		}
		return known && !domain.equals(this.own.failureDomain());
	}

	/**
	 * Returns whether this VM may lack messages of VMs that are alive: one that was alive
	 * lately, and is not shutting down, is not heard, or none of those that are known is.
	 * @param nowMs the current time in milliseconds
	 * @return {@code true} if messages may be missing
	 */
	public boolean isOutOfTouch(long nowMs) {
		boolean anyHeard = false;
		for (Vm vm : this.others.values()) {
			boolean heard = vm.isAlive(nowMs) && vm.reachable;
			boolean lost = !heard && vm.confirmed && nowMs - vm.confirmedAtMs < COUNTED_MS;
			if (lost && !vm.draining) {
				return true;
			}
			anyHeard |= heard;
		}
		return !anyHeard && !this.others.isEmpty();
	}

	/**
	 * Returns the other VMs that were confirmed alive recently, for those that rely on
	 * this VM.
	 * @param nowMs the current time in milliseconds
	 * @return their states
	 */
	public List<VmState> confirmed(long nowMs) {
		List<VmState> states = new ArrayList<>();
		for (Vm vm : this.others.values()) {
			if (vm.confirmed && vm.isAlive(nowMs)) {
				states.add(new VmState(vm.member.name(), vm.draining));
			}
		}
		return states;
	}

	/**
	 * Returns the number of entry VMs over which shared limits are divided: this one,
	 * those that were alive in the last 20 s, and those that were not heard of yet.
	 * @param nowMs the current time in milliseconds
	 * @return the number
	 */
	public int count(long nowMs) {
		int count = 1;
		for (Vm vm : this.others.values()) {
			count += (vm.isCounted(nowMs)) ? 1 : 0;
		}
		return count;
	}

	/**
	 * Returns the share of this VM in the rate that an endpoint takes from all entry VMs
	 * together. If the rate is too low for all VMs that count in shared limits, those
	 * with the highest hash of endpoint and name have the shares.
	 * @param endpoint the name of the endpoint
	 * @param limitPerSecond the rate in requests per second
	 * @param nowMs the current time in milliseconds
	 * @return the share in requests per second; 0 if other VMs have all shares
	 */
	public double limitShare(String endpoint, double limitPerSecond, long nowMs) {
		int count = count(nowMs);
		int holders = Math.min(count, LimitShares.maxHolders(limitPerSecond));
		return (holders == count || isHolder(endpoint, holders, nowMs))
				? LimitShares.usablePerSecond(limitPerSecond) / holders : 0;
	}

	/**
	 * Returns the position of this VM among those that count in shared limits, in the
	 * order of the hash of endpoint and name.
	 * @param endpoint the name of the endpoint
	 * @param nowMs the current time in milliseconds
	 * @return the position
	 */
	public FleetPosition position(String endpoint, long nowMs) {
		return new FleetPosition(rank(endpoint, nowMs), count(nowMs));
	}

	private boolean isHolder(String endpoint, int holders, long nowMs) {
		return rank(endpoint, nowMs) < holders;
	}

	private int rank(String endpoint, long nowMs) {
		int ownRank = Rendezvous.rank(endpoint, this.own.name());
		int before = 0;
		for (Map.Entry<String, Vm> vm : this.others.entrySet()) {
			int order = Integer.compare(Rendezvous.rank(endpoint, vm.getKey()), ownRank);
			boolean isBefore = order > 0 || (order == 0 && vm.getKey().compareTo(this.own.name()) < 0);
			before += (isBefore && vm.getValue().isCounted(nowMs)) ? 1 : 0;
		}
		return before;
	}

	/**
	 * Returns the VMs that relay state, given who is alive and reachable.
	 * @param nowMs the current time in milliseconds
	 * @return the hubs
	 */
	public Hubs hubs(long nowMs) {
		return new Hubs(usable(nowMs), count(nowMs));
	}

	/**
	 * Returns the other VMs that may get work from this one.
	 * @param nowMs the current time in milliseconds
	 * @return the VMs that are alive, reachable and not draining
	 */
	public List<FleetMember> reachable(long nowMs) {
		List<FleetMember> reachable = new ArrayList<>();
		for (Vm vm : this.others.values()) {
			if (vm.isAlive(nowMs) && vm.reachable && !vm.draining) {
				reachable.add(vm.member);
			}
		}
		return reachable;
	}

	private List<FleetMember> usable(long nowMs) {
		List<FleetMember> usable = reachable(nowMs);
		if (!this.draining || usable.isEmpty()) {
			usable.add(this.own);
		}
		return usable;
	}

	/**
	 * Returns the VM that makes the calls of a stage service: of the VMs with much
	 * capacity, the one with the highest hash of service and name. A draining VM names
	 * itself only if there is no other.
	 * @param service the name of the service
	 * @param nowMs the current time in milliseconds
	 * @return the name of the coordinator
	 */
	public String coordinatorOf(String service, long nowMs) {
		return this.coordinators.computeIfAbsent(service, (key) -> chooseCoordinator(key, nowMs));
	}

	private String chooseCoordinator(String service, long nowMs) {
		List<FleetMember> usable = usable(nowMs);
		double largest = usable.stream().mapToDouble(FleetMember::capacity).max().orElse(0);
		FleetMember best = null;
		for (FleetMember member : usable) {
			boolean large = member.capacity() >= largest * COORDINATOR_CAPACITY;
			if (large && (best == null
					|| Rendezvous.rank(service, member.name()) > Rendezvous.rank(service, best.name()))) {
				best = member;
			}
		}
		return best.name();
	}

	/**
	 * Makes the next choice of coordinators take into account which confirmations have
	 * expired.
	 */
	public void expire() {
		this.coordinators.clear();
	}

	/**
	 * The state of a VM that is alive.
	 *
	 * @param name the name of the VM
	 * @param draining whether it is shutting down
	 */
	public record VmState(String name, boolean draining) {
	}

	private static final class Vm {

		private FleetMember member;

		private long aliveUntilMs;

		private long confirmedAtMs;

		private boolean confirmed;

		private boolean draining;

		private boolean reachable = true;

		private Vm(FleetMember member, long aliveUntilMs) {
			this.member = member;
			this.aliveUntilMs = aliveUntilMs;
		}

		private boolean isAlive(long nowMs) {
			return nowMs < this.aliveUntilMs;
		}

		private boolean isCounted(long nowMs) {
			return !this.confirmed || nowMs - this.confirmedAtMs < COUNTED_MS;
		}

	}

}
