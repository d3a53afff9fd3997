package org.fulmargap.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.fulmargap.config.Configuration;
import org.fulmargap.config.EndpointSpec;
import org.fulmargap.membership.AdminOrder.State;
import org.fulmargap.membership.AdminOrder.Target;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against entry VMs that have different orders in force, or return to an older
 * one, because they received the same orders in another sequence.
 */
class AdminOrdersProperties {

	private static final List<Target> TARGETS = List.of(Target.failureDomain("d0"), Target.failureDomain("d1"),
			Target.endpoint("e0"), Target.endpoint("e1"), Target.endpoint("d0"));

	private static final Configuration CONFIGURATION = new Configuration(Map.of(), Map.of(),
			Map.of("e0", endpoint("d0"), "e1", endpoint("d1"), "d0", endpoint("d2")));

	@Property(tries = 400, seed = "4101")
	void replicasAgreeWithTheReferenceAfterMergesInAnyOrder(@ForAll Random random) {
		int replicas = 2 + random.nextInt(4);
		List<AdminOrders> merged = new ArrayList<>(Collections.nCopies(replicas, AdminOrders.NONE));
		List<Set<AdminOrder>> received = new ArrayList<>();
		for (int i = 0; i < replicas; i++) {
			received.add(new HashSet<>());
		}
		for (int step = 0; step < 60; step++) {
			int replica = random.nextInt(replicas);
			if (random.nextInt(3) == 0) {
				AdminOrder order = randomOrder(random, merged.get(replica), "vm" + replica + "-1");
				merged.set(replica, merged.get(replica).merge(List.of(order)));
				received.get(replica).add(order);
			}
			else {
				int source = random.nextInt(replicas);
				List<AdminOrder> orders = new ArrayList<>(received.get(source));
				Collections.shuffle(orders, random);
				List<AdminOrder> part = orders.subList(0, random.nextInt(orders.size() + 1));
				merged.set(replica, merged.get(replica).merge(part).merge(part));
				received.get(replica).addAll(part);
			}
			assertThat(merged.get(replica).list())
				.containsExactlyInAnyOrderElementsOf(reference(received.get(replica)));
			assertThat(merged.get(replica).unavailableEndpoints(CONFIGURATION))
				.isEqualTo(referenceUnavailable(received.get(replica)));
		}
		Set<AdminOrder> all = new HashSet<>();
		received.forEach(all::addAll);
		for (int i = 0; i < replicas; i++) {
			AdminOrders complete = merged.get(i);
			for (AdminOrders other : merged) {
				complete = complete.merge(other.list());
			}
			assertThat(complete.list()).containsExactlyInAnyOrderElementsOf(reference(all));
			assertThat(complete.checksum())
				.isEqualTo(AdminOrders.NONE.merge(new ArrayList<>(reference(all))).checksum());
		}
	}

	@Property(tries = 200, seed = "4102")
	void aNewOrderSupersedesAllThatItsIssuerReceived(@ForAll Random random) {
		AdminOrders orders = AdminOrders.NONE;
		for (int step = 0; step < 30; step++) {
			// The clock of the issuer may be behind the counters of other issuers.
			AdminOrder next = orders.next(TARGETS.get(random.nextInt(TARGETS.size())),
					State.values()[random.nextInt(2)], "vm" + random.nextInt(3) + "-1", random.nextInt(20));
			orders = orders.merge(List.of(next));
			assertThat(orders.find(next.target())).contains(next);
			assertThat(orders.checksum()).isNotEqualTo(orders
				.merge(List
					.of(orders.next(next.target(), State.values()[1 - next.state().ordinal()], next.issuer(), 0)))
				.checksum());
		}
	}

	private static AdminOrder randomOrder(Random random, AdminOrders known, String issuer) {
		Target target = TARGETS.get(random.nextInt(TARGETS.size()));
		State state = State.values()[random.nextInt(2)];
		return (random.nextInt(4) == 0) ? new AdminOrder(target, state, 1 + random.nextInt(5), issuer)
				: known.next(target, state, issuer, random.nextInt(10));
	}

	// Sorts all received orders so that each one overwrites its predecessor.
	private static Set<AdminOrder> reference(Set<AdminOrder> received) {
		List<AdminOrder> sorted = new ArrayList<>(received);
		sorted.sort((left, right) -> {
			int order = Long.compare(left.counter(), right.counter());
			order = (order != 0) ? order : left.issuer().compareTo(right.issuer());
			return (order != 0) ? order : left.state().compareTo(right.state());
		});
		Map<Target, AdminOrder> last = new HashMap<>();
		sorted.forEach((order) -> last.put(order.target(), order));
		return new HashSet<>(last.values());
	}

	private static Set<String> referenceUnavailable(Set<AdminOrder> received) {
		Set<String> unavailable = new HashSet<>();
		for (AdminOrder order : reference(received)) {
			CONFIGURATION.endpoints().forEach((name, spec) -> {
				boolean domain = order.target().equals(Target.failureDomain(spec.failureDomain()));
				if (order.state() == State.OUT && (domain || order.target().equals(Target.endpoint(name)))) {
					unavailable.add(name);
				}
			});
		}
		return unavailable;
	}

	private static EndpointSpec endpoint(String failureDomain) {
		return new EndpointSpec("s", failureDomain, "http://127.0.0.1:1", 1, null);
	}

}
