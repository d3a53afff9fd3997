package org.fulmargap.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.fulmargap.membership.AdminOrder;
import org.fulmargap.membership.AdminOrder.State;
import org.fulmargap.membership.AdminOrder.Target;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against orders that are missing from the log because the log was down when they
 * were issued, or because their issuer died before it appended them.
 */
class OrderServiceTests {

	private static final Target TARGET = Target.endpoint("e1");

	private final List<AdminOrder> appended = new ArrayList<>();

	private final OrderService service = new OrderService("a", "a-1", () -> List.of("a", "b"),
			(order, vms, waitMs) -> CompletableFuture.completedFuture(Set.of()), this.appended::add, (orders) -> {
			});

	@Nested
	class Appends {

		@Test
		void ofOwnOrdersAreRetriedUntilTheyAreReadFromTheLog() {
			OrderService service = OrderServiceTests.this.service;
			OrderService.OrderResult result = service.issue(TARGET, State.OUT, 100, 1_000).join();
			assertThat(result.notConfirmed()).containsExactly("b");
			service.retryAppends(5_900);
			assertThat(OrderServiceTests.this.appended).containsExactly(result.order());
			service.retryAppends(6_000);
			service.retryAppends(11_000);
			assertThat(OrderServiceTests.this.appended).hasSize(3).containsOnly(result.order());
			service.mergeFromLog(List.of(result.order()), 12_000);
			service.retryAppends(60_000);
			assertThat(OrderServiceTests.this.appended).hasSize(3);
		}

		@Test
		void ofOrdersOfOtherVmsStartAfterADelay() {
			AdminOrder order = new AdminOrder(TARGET, State.OUT, 5, "b-1");
			OrderServiceTests.this.service.merge(List.of(order), 1_000);
			OrderServiceTests.this.service.retryAppends(30_900);
			assertThat(OrderServiceTests.this.appended).isEmpty();
			OrderServiceTests.this.service.retryAppends(31_000);
			assertThat(OrderServiceTests.this.appended).containsExactly(order);
		}

		@Test
		void areNotStoppedByAnOlderOrderInTheLog() {
			AdminOrder older = new AdminOrder(TARGET, State.OUT, 5, "b-1");
			AdminOrder newer = new AdminOrder(TARGET, State.IN, 6, "b-1");
			OrderServiceTests.this.service.merge(List.of(newer), 1_000);
			OrderServiceTests.this.service.mergeFromLog(List.of(older), 2_000);
			assertThat(OrderServiceTests.this.service.current().find(TARGET)).contains(newer);
			OrderServiceTests.this.service.retryAppends(31_000);
			assertThat(OrderServiceTests.this.appended).containsExactly(newer);
		}

	}

}
