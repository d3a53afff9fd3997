package org.fulmargap.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The VMs that relay state for the others. Hubs exchange heartbeats with each other, all
 * other VMs only with one hub of their failure domain, so that the messages of a VM grow
 * with the square root of the fleet. A small fleet consists of hubs only.
 */
public final class Hubs {

	/** Up to this number of VMs, all are hubs. */
	public static final int MAX_FLAT_FLEET = 12;

	private static final Comparator<FleetMember> BY_RANK = Comparator.comparingDouble(FleetMember::capacity)
		.reversed()
		.thenComparingInt((member) -> Rendezvous.rank("hub", member.name()))
		.thenComparing(FleetMember::name);

	private final Map<String, List<FleetMember>> byDomain = new HashMap<>();

	private final Set<String> names = new LinkedHashSet<>();

	/**
	 * Selects the hubs: in each failure domain the VMs with the largest capacity.
	 * @param candidates the VMs that can be hubs
	 * @param fleetSize the number of VMs in the fleet, including those that are away for
	 * a short time, so that the number of hubs doesn't change with each restart
	 */
	public Hubs(Collection<FleetMember> candidates, int fleetSize) {
		Map<String, List<FleetMember>> domains = new HashMap<>();
		for (FleetMember candidate : candidates) {
			domains.computeIfAbsent(candidate.failureDomain(), (domain) -> new ArrayList<>()).add(candidate);
		}
		domains.forEach((domain, members) -> {
			members.sort(BY_RANK);
			int count = (fleetSize <= MAX_FLAT_FLEET) ? members.size() : hubsOf(members.size(), fleetSize);
			List<FleetMember> hubs = List.copyOf(members.subList(0, Math.min(count, members.size())));
			this.byDomain.put(domain, hubs);
			hubs.forEach((hub) -> this.names.add(hub.name()));
		});
	}

	private static int hubsOf(int domainSize, int fleetSize) {
		return (int) Math.max(1, Math.round(Math.sqrt(fleetSize) * domainSize / fleetSize));
	}

	/**
	 * Returns the names of all hubs.
	 * @return the names
	 */
	public Set<String> names() {
		return this.names;
	}

	/**
	 * Returns the hub of a VM that is none itself.
	 * @param member the VM
	 * @return a hub of its failure domain, or empty if there is none
	 */
	public Optional<FleetMember> hubOf(FleetMember member) {
		return this.byDomain.getOrDefault(member.failureDomain(), List.of())
			.stream()
			.max(Comparator.comparingInt((hub) -> Rendezvous.rank(member.name(), hub.name())));
	}

}
