package org.fulmargap.peer;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.fulmargap.membership.AdminOrder;
import org.fulmargap.membership.AdminOrder.State;
import org.fulmargap.membership.AdminOrder.Target;
import org.fulmargap.membership.AdminOrders;

/**
 * Applies, spreads and keeps administrative orders on one entry VM. Safe for use by
 * several threads.
 */
public final class OrderService {

	// An order that another VM issued is appended by this VM only if the issuer has not
	// done so, for example because it died while the log was down.
	private static final long FOREIGN_APPEND_AFTER_MS = 30_000;

	private static final long REPEAT_APPEND_AFTER_MS = 5_000;

	private final String self;

	private final String issuer;

	private final Supplier<Collection<String>> members;

	private final OrderPush push;

	private final Consumer<AdminOrder> appender;

	private final Consumer<AdminOrders> changeListener;

	private final Map<Target, Unlogged> unlogged = new HashMap<>();

	private AdminOrders orders = AdminOrders.NONE;

	/**
	 * Creates the service without orders.
	 * @param self the name of this entry VM
	 * @param issuer the incarnation of this entry VM
	 * @param members returns the names of all members
	 * @param push hands an order to members
	 * @param appender appends an order to the log without waiting; it is called again
	 * until the order was read from the log
	 * @param changeListener is told the orders in force after each change, in order
	 */
	public OrderService(String self, String issuer, Supplier<Collection<String>> members, OrderPush push,
			Consumer<AdminOrder> appender, Consumer<AdminOrders> changeListener) {
		this.self = Objects.requireNonNull(self, "self");
		this.issuer = Objects.requireNonNull(issuer, "issuer");
		this.members = Objects.requireNonNull(members, "members");
		this.push = Objects.requireNonNull(push, "push");
		this.appender = Objects.requireNonNull(appender, "appender");
		this.changeListener = Objects.requireNonNull(changeListener, "changeListener");
	}

	/**
	 * Applies an order of an operator at once and spreads it.
	 * @param target what the order is about
	 * @param state the state to set
	 * @param waitMs the longest wait for confirmations in milliseconds
	 * @param nowMs the present time in milliseconds since the epoch
	 * @return a future with the confirmations, never completed exceptionally
	 */
	public CompletableFuture<OrderResult> issue(Target target, State state, long waitMs, long nowMs) {
		AdminOrder order;
		synchronized (this) {
			order = this.orders.next(target, state, this.issuer, nowMs);
			apply(List.of(order), nowMs);
		}
		this.appender.accept(order);
		Set<String> asked = new TreeSet<>(this.members.get());
		asked.remove(this.self);
		return this.push.push(order, asked, waitMs).thenApply((confirmed) -> {
			Set<String> confirmedVms = new TreeSet<>(confirmed);
			confirmedVms.add(this.self);
			Set<String> missing = new TreeSet<>(asked);
			missing.removeAll(confirmedVms);
			return new OrderResult(order, confirmedVms, missing);
		});
	}

	/**
	 * Merges orders of a peer.
	 * @param received the orders
	 * @param nowMs the present time in milliseconds since the epoch
	 * @return the orders in force after the merge
	 */
	public synchronized AdminOrders merge(Collection<AdminOrder> received, long nowMs) {
		apply(received, nowMs);
		return this.orders;
	}

	/**
	 * Merges orders that were read from the log.
	 * @param logged orders of records and snapshots
	 * @param nowMs the present time in milliseconds since the epoch
	 * @return the orders in force after the merge
	 */
	public synchronized AdminOrders mergeFromLog(Collection<AdminOrder> logged, long nowMs) {
		apply(logged, nowMs);
		for (AdminOrder order : logged) {
			Unlogged waiting = this.unlogged.get(order.target());
			if (waiting != null && !waiting.order().supersedes(order)) {
				this.unlogged.remove(order.target());
			}
		}
		return this.orders;
	}

	/**
	 * Returns the orders in force.
	 * @return an immutable set
	 */
	public synchronized AdminOrders current() {
		return this.orders;
	}

	/**
	 * Hands orders to the appender again that have not been read from the log for a
	 * while. Called every second or so.
	 * @param nowMs the present time in milliseconds since the epoch
	 */
	public void repeatAppends(long nowMs) {
		List<AdminOrder> due;
		synchronized (this) {
			due = this.unlogged.values()
				.stream()
				.filter((waiting) -> nowMs >= waiting.appendAtMs())
				.map(Unlogged::order)
				.toList();
			due.forEach(
					(order) -> this.unlogged.put(order.target(), new Unlogged(order, nowMs + REPEAT_APPEND_AFTER_MS)));
		}
		due.forEach(this.appender);
	}

	private void apply(Collection<AdminOrder> received, long nowMs) {
		AdminOrders merged = this.orders.merge(received);
		if (merged != this.orders) {
			for (AdminOrder order : merged.list()) {
				if (!this.orders.covers(order)) {
					long delayMs = order.issuer().equals(this.issuer) ? REPEAT_APPEND_AFTER_MS
							: FOREIGN_APPEND_AFTER_MS;
					this.unlogged.put(order.target(), new Unlogged(order, nowMs + delayMs));
				}
			}
			this.orders = merged;
			this.changeListener.accept(merged);
		}
	}

	/**
	 * Hands an order to members.
	 */
	@FunctionalInterface
	public interface OrderPush {

		/**
		 * Sends an order and collects confirmations.
		 * @param order the order
		 * @param vms the names of the members
		 * @param waitMs the longest wait in milliseconds
		 * @return a future with the names of the members that hold the order, never
		 * completed exceptionally
		 */
		CompletableFuture<Set<String>> push(AdminOrder order, Collection<String> vms, long waitMs);

	}

	/**
	 * Confirmations of an order.
	 *
	 * @param order the order
	 * @param confirmed the members that hold the order, this entry VM included
	 * @param notConfirmed the members that did not answer in time
	 */
	public record OrderResult(AdminOrder order, Set<String> confirmed, Set<String> notConfirmed) {

		/**
		 * Copies the sets.
		 */
		public OrderResult {
			confirmed = java.util.Collections.unmodifiableSet(new TreeSet<>(confirmed));
			notConfirmed = java.util.Collections.unmodifiableSet(new TreeSet<>(notConfirmed));
		}

		/**
		 * Tells whether all members hold the order.
		 * @return {@code true} if no confirmation is missing
		 */
		public boolean isInForce() {
			return this.notConfirmed.isEmpty();
		}

	}

	private record Unlogged(AdminOrder order, long appendAtMs) {
	}

}
