package org.fulmargap.peer;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.fulmargap.claim.ClaimKey;
import org.fulmargap.claim.RecordedOutcome;
import org.fulmargap.membership.AdminOrder;
import org.fulmargap.membership.AdminOrder.State;
import org.fulmargap.membership.AdminOrder.Target;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against messages between entry VMs that are lost, replies that are matched with
 * the wrong query, and queries that never complete.
 */
// Without the timeout, a link that is not closed because of a fault would block a read
// indefinitely.
@Timeout(value = 30, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class TcpPeerNetworkTests {

	private static final ClaimKey KEY = new ClaimKey("andinas", "k-1");

	@Nested
	class BetweenThreeVms {

		private PeerNode first;

		private PeerNode second;

		private PeerNode third;

		@BeforeEach
		void connect() throws Exception {
			List<InetSocketAddress> addresses = PeerNode.freeAddresses(3);
			this.first = new PeerNode("vm-a", 1, "gent-a", addresses.get(0), addresses);
			this.second = new PeerNode("vm-b", 1, "gent-b", addresses.get(1), addresses);
			this.third = new PeerNode("vm-c", 1, "gent-c", addresses.get(2), addresses);
			this.first.awaitEvent(PeerEventType.LINK_UP, "vm-b");
			this.first.awaitEvent(PeerEventType.LINK_UP, "vm-c");
			this.second.awaitEvent(PeerEventType.LINK_UP, "vm-c");
		}

		@AfterEach
		void close() {
			this.first.close();
			this.second.close();
			this.third.close();
		}

		@Test
		void returnsTheKeyStateOfEachMember() {
			this.second.keys.put(KEY, PeerNetwork.KeyState.ABANDONED);
			this.third.keys.put(KEY, PeerNetwork.KeyState.DISPATCHED);
			assertThat(this.first.network.queryKey(List.of("vm-a", "vm-b", "vm-c", "vm-d"), KEY, PeerNode.WAIT_MS)
				.orTimeout(PeerNode.WAIT_MS, TimeUnit.MILLISECONDS)
				.join())
				.isEqualTo(Map.of("vm-a", PeerNetwork.KeyState.NONE, "vm-b", PeerNetwork.KeyState.ABANDONED, "vm-c",
						PeerNetwork.KeyState.DISPATCHED));
		}

		@Test
		void waitsForTheOutcomeOfARunningRequest() {
			CompletableFuture<Optional<RecordedOutcome>> running = new CompletableFuture<>();
			this.second.outcomes.put(KEY, running);
			CompletableFuture<Optional<RecordedOutcome>> reply = this.first.network.queryOutcome("vm-b-1", KEY,
					PeerNode.WAIT_MS);
			assertThat(this.third.network.queryOutcome("vm-b-2", KEY, PeerNode.WAIT_MS).join()).isEmpty();
			assertThat(reply).isNotDone();
			RecordedOutcome outcome = new RecordedOutcome(200, "{}", false);
			running.complete(Optional.of(outcome));
			assertThat(reply.join()).contains(outcome);
		}

		@Test
		void reportsConfirmationsOfAnOrder() {
			OrderService.OrderResult result = this.first.orders
				.issue(Target.failureDomain("gent-b"), State.OUT, PeerNode.WAIT_MS, System.currentTimeMillis())
				.join();
			assertThat(result.confirmed()).containsExactly("vm-a", "vm-b", "vm-c");
			assertThat(result.isInForce()).isTrue();
			assertThat(this.third.orders.current().isOut(Target.failureDomain("gent-b"))).isTrue();
		}

		@Test
		void sendsCrashReportsImmediatelyAndWarmUpStartsInHeartbeats() throws Exception {
			this.first.ownWarmUpStarts = Map.of("e1", 7L);
			this.first.network.broadcastCrashReports(Map.of("f1", List.of("e1")));
			assertThat(this.second.crashReports.poll(PeerNode.WAIT_MS, TimeUnit.MILLISECONDS))
				.isEqualTo(Map.of("f1", List.of("e1")));
			assertThat(this.third.warmUpStarts.poll(PeerNode.WAIT_MS, TimeUnit.MILLISECONDS))
				.isEqualTo(Map.of("e1", 7L));
		}

		@Test
		void keepsOneLinkPerPair() throws Exception {
			// Either VM may detect the closing of the second connection first.
			for (PeerNode node : List.of(this.second, this.third)) {
				node.awaitEvent(PeerEventType.DUPLICATE_LINK, "vm-a");
			}
			this.third.awaitEvent(PeerEventType.DUPLICATE_LINK, "vm-b");
			assertThat(this.first.network.connectedVms()).containsExactlyInAnyOrder("vm-b", "vm-c");
			assertThat(this.third.network.queryKey(List.of("vm-a", "vm-b"), KEY, PeerNode.WAIT_MS).join()).hasSize(2);
		}

		@Test
		void includesOrdersInHeartbeatsToPeersThatLackThem() throws Exception {
			// Merged without a push, as if the issuer had died after it had sent the
			// order to this VM only.
			this.first.orders.merge(List.of(new AdminOrder(Target.endpoint("e1"), State.OUT, 9, "vm-z-1")),
					System.currentTimeMillis());
			for (PeerNode node : List.of(this.second, this.third)) {
				assertThat(node.orderChanges.poll(PeerNode.WAIT_MS, TimeUnit.MILLISECONDS)).isNotNull();
				assertThat(node.orders.current()).isEqualTo(this.first.orders.current());
			}
		}

		@Test
		void keepsLinksAfterAClockStepOrAPause() throws Exception {
			for (long offsetMs : new long[] { 60_000, -60_000 }) {
				this.first.clockOffsetMs = offsetMs;
				this.first.ownWarmUpStarts = Map.of("e1", offsetMs);
				Map<String, Long> received = Map.of();
				while (received != null && !received.equals(this.first.ownWarmUpStarts)) {
					received = this.second.warmUpStarts.poll(PeerNode.WAIT_MS, TimeUnit.MILLISECONDS);
				}
				assertThat(received).as("heartbeat after a step of %s ms", offsetMs).isNotNull();
				assertThat(this.first.events).noneMatch((event) -> event.type() == PeerEventType.LINK_SILENT);
			}
		}

		@Test
		void completesPendingQueriesWhenClosed() {
			this.second.outcomes.put(KEY, new CompletableFuture<>());
			CompletableFuture<Optional<RecordedOutcome>> pending = this.first.network.queryOutcome("vm-b-1", KEY,
					60_000);
			this.first.network.close();
			assertThat(pending.orTimeout(PeerNode.WAIT_MS, TimeUnit.MILLISECONDS).join()).isEmpty();
			assertThat(this.first.network.fetchConfigs(60_000).join()).isEmpty();
		}

		@Test
		void fetchesTheHighestConfigurationFirst() {
			this.second.configVersion = 4;
			this.third.configVersion = 9;
			assertThat(this.first.network.fetchConfigs(PeerNode.WAIT_MS).join())
				.extracting(PeerHandler.ConfigCopy::version)
				.containsExactly(9L, 4L);
		}

	}

}
