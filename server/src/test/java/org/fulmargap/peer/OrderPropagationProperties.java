package org.fulmargap.peer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.fulmargap.membership.AdminOrder;
import org.fulmargap.membership.AdminOrder.State;
import org.fulmargap.membership.AdminOrder.Target;
import org.fulmargap.membership.AdminOrders;
import org.fulmargap.membership.Heartbeat;
import org.fulmargap.membership.Hello;
import org.fulmargap.membership.Incarnation;
import org.fulmargap.membership.MembershipLimits;
import org.fulmargap.membership.MembershipView;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against orders that do not reach a connected VM, are reported as confirmed by a
 * VM that does not hold them, or are reverted after a network partition.
 */
class OrderPropagationProperties {

	private static final List<Target> TARGETS = List.of(Target.failureDomain("d0"), Target.failureDomain("d1"),
			Target.endpoint("e0"));

	@Property(tries = 150, seed = "4201")
	void ordersReachAllConnectedVmsAndNeverRevert(@ForAll Random random) {
		Cluster cluster = new Cluster(random, 2 + random.nextInt(5));
		for (int step = 0; step < 80; step++) {
			switch (random.nextInt(8)) {
				case 0, 1 -> cluster.issue();
				case 2 -> cluster.partitionRandomly();
				case 3 -> cluster.cutLinks.clear();
				case 4 -> cluster.restartRandomNode();
				default -> cluster.exchangeHeartbeats(500);
			}
		}
		cluster.cutLinks.clear();
		cluster.exchangeHeartbeats(500);
		cluster.exchangeHeartbeats(500);
		cluster.assertAgreement();
	}

	private static final class Cluster {

		private final Random random;

		private final List<Node> nodes = new ArrayList<>();

		private final Set<Set<Integer>> cutLinks = new HashSet<>();

		private long nowMs = 1_000_000;

		private Cluster(Random random, int count) {
			this.random = random;
			for (int i = 0; i < count; i++) {
				this.nodes.add(new Node(this, i, this.nowMs));
			}
			exchangeHeartbeats(500);
		}

		private boolean connected(int left, int right) {
			return left == right || !this.cutLinks.contains(Set.of(left, right));
		}

		private void partitionRandomly() {
			for (int left = 0; left < this.nodes.size(); left++) {
				for (int right = 0; right < left; right++) {
					if (this.random.nextInt(3) == 0) {
						this.cutLinks.add(Set.of(left, right));
					}
				}
			}
		}

		private void restartRandomNode() {
			// An order that only one VM holds is lost when that VM restarts, and its
			// register may then revert. Therefore a VM is restarted only if another VM
			// holds all its orders.
			int index = this.random.nextInt(this.nodes.size());
			AdminOrders held = this.nodes.get(index).service.current();
			if (this.nodes.stream()
				.anyMatch((node) -> node.index != index
						&& held.list().stream().allMatch(node.service.current()::covers))) {
				this.nodes.set(index, new Node(this, index, this.nowMs));
			}
		}

		private void issue() {
			Node issuer = this.nodes.get(this.random.nextInt(this.nodes.size()));
			Target target = TARGETS.get(this.random.nextInt(TARGETS.size()));
			State state = State.values()[this.random.nextInt(2)];
			// The clocks of the VMs differ by up to a second.
			OrderService.OrderResult result = issuer.service
				.issue(target, state, 100, this.nowMs + this.random.nextInt(1_000))
				.join();
			assertThat(issuer.service.current().find(target)).contains(result.order());
			for (Node node : this.nodes) {
				boolean reached = node == issuer || connected(node.index, issuer.index);
				assertThat(result.confirmed().contains(node.vm())).isEqualTo(reached);
				assertThat(result.notConfirmed().contains(node.vm())).isEqualTo(!reached);
				assertThat(!reached || node.service.current().covers(result.order())).isTrue();
			}
			assertThat(result.isInForce()).isEqualTo(result.confirmed().size() == this.nodes.size());
		}

		private void exchangeHeartbeats(long elapsedMs) {
			this.nowMs += elapsedMs;
			for (Node sender : this.nodes) {
				for (Node receiver : this.nodes) {
					if (sender != receiver && connected(sender.index, receiver.index)) {
						receiver.receive(sender, this.nowMs);
					}
				}
			}
			for (Node node : this.nodes) {
				for (Node other : this.nodes) {
					assertThat(connected(node.index, other.index) && !node.view.isAlive(other.vm(), this.nowMs))
						.isFalse();
				}
			}
		}

		private void assertAgreement() {
			AdminOrders expected = AdminOrders.NONE;
			for (Node node : this.nodes) {
				expected = expected.merge(node.service.current().list());
			}
			for (Node node : this.nodes) {
				assertThat(node.service.current()).isEqualTo(expected);
				assertThat(node.service.current().checksum()).isEqualTo(expected.checksum());
			}
		}

	}

	private static final class Node {

		private final Cluster cluster;

		private final int index;

		private final MembershipView view;

		private final OrderService service;

		private final Map<Target, AdminOrder> latest = new HashMap<>();

		private Node(Cluster cluster, int index, long nowMs) {
			this.cluster = cluster;
			this.index = index;
			Hello hello = new Hello("vm" + index, new Incarnation("vm" + index, nowMs), "d" + index % 2, 1, "");
			this.view = new MembershipView(hello, MembershipLimits.DEFAULTS, nowMs);
			this.service = new OrderService(hello.vm(), hello.incarnation().toString(),
					() -> cluster.nodes.stream().map(Node::vm).toList(), this::push, (order) -> {
					}, this::checkNotReverted);
		}

		private String vm() {
			return this.view.self().vm();
		}

		private void checkNotReverted(AdminOrders orders) {
			this.latest.forEach((target, order) -> assertThat(orders.covers(order)).as("%s reverted", order).isTrue());
			orders.list().forEach((order) -> this.latest.put(order.target(), order));
		}

		private CompletableFuture<Set<String>> push(AdminOrder order, Collection<String> vms, long waitMs) {
			Set<String> confirmed = new HashSet<>();
			for (Node node : this.cluster.nodes) {
				if (vms.contains(node.vm()) && this.cluster.connected(this.index, node.index)
						&& node.service.merge(List.of(order), this.cluster.nowMs).covers(order)) {
					confirmed.add(node.vm());
				}
			}
			return CompletableFuture.completedFuture(confirmed);
		}

		private void receive(Node sender, long nowMs) {
			AdminOrders orders = sender.service.current();
			this.view.receiveHello(sender.view.self(), nowMs);
			List<AdminOrder> orderList = (orders.checksum() != this.service.current().checksum()) ? orders.list()
					: List.of();
			Heartbeat heartbeat = new Heartbeat(sender.view.self().incarnation(), false, 0, 0, null, null,
					orders.checksum(), orderList, null);
			assertThat(this.view.receiveHeartbeat(heartbeat, nowMs)).isTrue();
			this.service.merge(heartbeat.orders(), nowMs);
		}

	}

}
