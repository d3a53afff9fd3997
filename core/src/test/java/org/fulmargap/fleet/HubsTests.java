package org.fulmargap.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against VMs that exchange messages with a large part of the fleet.
 */
class HubsTests {

	private static final int DOMAINS = 5;

	private static List<FleetMember> fleet(int size) {
		List<FleetMember> members = new ArrayList<>();
		for (int i = 0; i < size; i++) {
			double capacity = 0.25 + 0.25 * (i / DOMAINS % 4);
			members.add(new FleetMember("vm-" + i, "10.0.0.1:" + i, "domain-" + i % DOMAINS, capacity));
		}
		return members;
	}

	private static Map<String, Integer> members(List<FleetMember> fleet, Hubs hubs) {
		Map<String, Integer> members = new HashMap<>();
		for (FleetMember member : fleet) {
			if (!hubs.names().contains(member.name())) {
				members.merge(hubs.hubOf(member).orElseThrow().name(), 1, Integer::sum);
			}
		}
		return members;
	}

	@Test
	void aSmallFleetConsistsOfHubs() {
		assertThat(new Hubs(fleet(Hubs.MAX_FLAT_FLEET), Hubs.MAX_FLAT_FLEET).names()).hasSize(Hubs.MAX_FLAT_FLEET);
	}

	@Test
	void noVmHasMoreThanFortyNeighboursInAFleetOfAHundred() {
		assertNeighbours(95, 40);
	}

	@Test
	void neighboursGrowWithTheSquareRootOfTheFleet() {
		assertNeighbours(323, 2 * 40);
		assertNeighbours(1_000, 4 * 40);
	}

	private static void assertNeighbours(int size, int most) {
		List<FleetMember> fleet = fleet(size);
		Hubs hubs = new Hubs(fleet, size);
		int largestGroup = members(fleet, hubs).values().stream().mapToInt(Integer::intValue).max().orElse(0);
		assertThat(hubs.names().size() - 1 + largestGroup).isLessThanOrEqualTo(most);
	}

	@Test
	void hubsAreTheLargestVmsOfTheirDomain() {
		List<FleetMember> fleet = fleet(95);
		Hubs hubs = new Hubs(fleet, 95);
		assertThat(fleet).filteredOn((member) -> hubs.names().contains(member.name()))
			.allSatisfy((member) -> assertThat(member.capacity()).isEqualTo(1))
			.extracting(FleetMember::failureDomain)
			.contains("domain-0", "domain-1", "domain-2", "domain-3", "domain-4");
	}

	@Test
	void theLossOfAHubMovesOnlyItsMembers() {
		List<FleetMember> fleet = fleet(300);
		Hubs before = new Hubs(fleet, 300);
		String lost = before.names().iterator().next();
		List<FleetMember> rest = fleet.stream().filter((member) -> !member.name().equals(lost)).toList();
		Hubs after = new Hubs(rest, 300);
		long moved = rest.stream()
			.filter((member) -> !before.names().contains(member.name()) && !after.names().contains(member.name()))
			.filter((member) -> !before.hubOf(member).equals(after.hubOf(member)))
			.filter((member) -> !before.hubOf(member).orElseThrow().name().equals(lost))
			.filter((member) -> before.names().contains(after.hubOf(member).orElseThrow().name()))
			.count();
		assertThat(moved).isZero();
	}

}
