package org.fulmargap.membership;

import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.fulmargap.config.Configuration;
import org.fulmargap.config.EndpointSpec;
import org.fulmargap.membership.AdminOrder.State;
import org.fulmargap.membership.AdminOrder.Target;

/**
 * Immutable set of the orders in force, with one last-writer-wins register per target.
 * Merging is commutative, associative and idempotent, so that all entry VMs that have
 * merged the same orders have the same set.
 */
public final class AdminOrders {

	/** The empty set: all targets are in service. */
	public static final AdminOrders NONE = new AdminOrders(new TreeMap<>());

	private final Map<Target, AdminOrder> registers;

	private final long highestCounter;

	private AdminOrders(TreeMap<Target, AdminOrder> registers) {
		this.registers = Collections.unmodifiableMap(registers);
		this.highestCounter = registers.values().stream().mapToLong(AdminOrder::counter).max().orElse(0);
	}

	/**
	 * Creates an order that supersedes all orders of this set. Its counter is at least
	 * the clock reading, so that an order issued by a partitioned VM still takes
	 * precedence over older orders that this VM has not received.
	 * @param target the target of the order
	 * @param state the state to set
	 * @param issuer the incarnation of this entry VM
	 * @param nowMs the current time in milliseconds since the epoch
	 * @return the order, not yet part of this set
	 */
	public AdminOrder next(Target target, State state, String issuer, long nowMs) {
		return new AdminOrder(target, state, Math.max(this.highestCounter + 1, nowMs), issuer);
	}

	/**
	 * Merges orders. Neither their sequence nor repetitions matter.
	 * @param orders the orders of other VMs or of the log
	 * @return the merged set, or this object if nothing changed
	 */
	public AdminOrders merge(Collection<AdminOrder> orders) {
		TreeMap<Target, AdminOrder> merged = new TreeMap<>(this.registers);
		boolean changed = false;
		for (AdminOrder order : orders) {
			AdminOrder known = merged.get(order.target());
			if (known == null || order.supersedes(known)) {
				merged.put(order.target(), order);
				changed = true;
			}
		}
		return changed ? new AdminOrders(merged) : this;
	}

	/**
	 * Finds the order in force for a target.
	 * @param target the target
	 * @return the order, or empty if there is none
	 */
	public Optional<AdminOrder> find(Target target) {
		return Optional.ofNullable(this.registers.get(target));
	}

	/**
	 * Returns whether an order was merged or superseded.
	 * @param order the order
	 * @return {@code true} if the register holds this order or one of higher precedence
	 */
	public boolean covers(AdminOrder order) {
		AdminOrder known = this.registers.get(order.target());
		return known != null && !order.supersedes(known);
	}

	/**
	 * Returns the orders in force, sorted by target.
	 * @return an immutable list
	 */
	public List<AdminOrder> list() {
		return List.copyOf(this.registers.values());
	}

	/**
	 * Finds the endpoints that are out of service and get no new requests.
	 * @param configuration the configuration that lists the endpoints
	 * @return the names of the endpoints that are out or whose failure domain is out
	 */
	public Set<String> unavailableEndpoints(Configuration configuration) {
		Set<String> unavailable = new HashSet<>();
		for (Map.Entry<String, EndpointSpec> entry : configuration.endpoints().entrySet()) {
			if (isOut(Target.endpoint(entry.getKey()))
					|| isOut(Target.failureDomain(entry.getValue().failureDomain()))) {
				unavailable.add(entry.getKey());
			}
		}
		return Set.copyOf(unavailable);
	}

	/**
	 * Returns whether an order for this target takes it out of service.
	 * @param target the target
	 * @return {@code true} if the state of the order in force is {@code OUT}
	 */
	public boolean isOut(Target target) {
		AdminOrder order = this.registers.get(target);
		return order != null && !order.state().takesNewWork();
	}

	/**
	 * Returns a checksum that heartbeats carry to detect whether two VMs have different
	 * orders.
	 * @return a 64-bit checksum, zero for the empty set
	 */
	public long checksum() {
		long sum = 0;
		for (AdminOrder order : this.registers.values()) {
			long value = order.target().toString().hashCode() * 31L + order.issuer().hashCode();
			value = (value * 31L + order.state().ordinal()) * 0x9E3779B97F4A7C15L + order.counter();
			value = (value ^ (value >>> 32)) * 0xD6E8FEB86659FD93L;
			sum += value ^ (value >>> 32);
		}
		return sum;
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof AdminOrders orders && this.registers.equals(orders.registers);
	}

	@Override
	public int hashCode() {
		return this.registers.hashCode();
	}

	@Override
	public String toString() {
		return this.registers.values().toString();
	}

}
