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
 * Applies administrative orders on one entry VM, pushes them to the members and ensures
 * that they are appended to the log. Instances are thread safe.
 */
public final class OrderService {

	// Delay after which this VM appends an order that another VM issued and that has not
	// been read from the log, for example because the issuer died while the log was down.
	private static final long OTHER_ISSUER_APPEND_AFTER_MS = 30_000;

	private static final long RETRY_APPEND_AFTER_MS = 5_000;

	private final String self;

	private final String issuer;

	private final Supplier<Collection<String>> members;

	private final OrderPush push;

	private final Consumer<AdminOrder> appender;

	private final Consumer<AdminOrders> changeListener;

	private final Map<Target, PendingAppend> pendingAppends = new HashMap<>();

	private AdminOrders orders = AdminOrders.NONE;

	/**
	 * Creates the service without orders.
	 * @param self the name of this entry VM
	 * @param issuer the incarnation of this entry VM
	 * @param members returns the names of all members
	 * @param push sends an order to members
	 * @param appender appends an order to the log without blocking; called repeatedly
	 * until the order has been read from the log
	 * @param changeListener receives the orders in force after each change, in sequence;
	 * called while the lock of this service is held
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
	 * Applies an order of an operator on this entry VM, appends it to the log and pushes
	 * it to all other members.
	 * @param target the target of the order
	 * @param state the state to set
	 * @param waitMs the longest wait for confirmations in milliseconds
	 * @param nowMs the current time in milliseconds since the epoch
	 * @return a future with the confirmations, never completed exceptionally
	 */
	public CompletableFuture<OrderResult> issue(Target target, State state, long waitMs, long nowMs) {
		AdminOrder order;
		synchronized (this) {
			order = this.orders.next(target, state, this.issuer, nowMs);
			apply(List.of(order), nowMs);
		}
		this.appender.accept(order);
		Set<String> recipients = new TreeSet<>(this.members.get());
		recipients.remove(this.self);
		return this.push.push(order, recipients, waitMs).thenApply((confirmed) -> {
			Set<String> confirmedVms = new TreeSet<>(confirmed);
			confirmedVms.add(this.self);
			Set<String> missing = new TreeSet<>(recipients);
			missing.removeAll(confirmedVms);
			return new OrderResult(order, confirmedVms, missing);
		});
	}

	/**
	 * Merges orders received from a peer.
	 * @param received the orders
	 * @param nowMs the current time in milliseconds since the epoch
	 * @return the orders in force after the merge
	 */
	public synchronized AdminOrders merge(Collection<AdminOrder> received, long nowMs) {
		apply(received, nowMs);
		return this.orders;
	}

	/**
	 * Merges orders that were read from the log.
	 * @param logged orders of records and snapshots
	 * @param nowMs the current time in milliseconds since the epoch
	 * @return the orders in force after the merge
	 */
	public synchronized AdminOrders mergeFromLog(Collection<AdminOrder> logged, long nowMs) {
		apply(logged, nowMs);
		for (AdminOrder order : logged) {
			PendingAppend pending = this.pendingAppends.get(order.target());
			if (pending != null && !pending.order().supersedes(order)) {
				this.pendingAppends.remove(order.target());
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
	 * Appends the orders again that have not been read from the log within the retry
	 * time. Called periodically.
	 * @param nowMs the current time in milliseconds since the epoch
	 */
	public void retryAppends(long nowMs) {
		List<AdminOrder> due;
		synchronized (this) {
			due = this.pendingAppends.values()
				.stream()
				.filter((pending) -> nowMs >= pending.appendAtMs())
				.map(PendingAppend::order)
				.toList();
			due.forEach((order) -> this.pendingAppends.put(order.target(),
					new PendingAppend(order, nowMs + RETRY_APPEND_AFTER_MS)));
		}
		due.forEach(this.appender);
	}

	private void apply(Collection<AdminOrder> received, long nowMs) {
		AdminOrders merged = this.orders.merge(received);
		if (merged != this.orders) {
			for (AdminOrder order : merged.list()) {
				if (!this.orders.covers(order)) {
					long delayMs = order.issuer().equals(this.issuer) ? RETRY_APPEND_AFTER_MS
							: OTHER_ISSUER_APPEND_AFTER_MS;
					this.pendingAppends.put(order.target(), new PendingAppend(order, nowMs + delayMs));
				}
			}
			this.orders = merged;
			this.changeListener.accept(merged);
		}
	}

	/**
	 * Sends an order to members.
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
	 * @param confirmed the members that hold the order, including this entry VM
	 * @param notConfirmed the members that did not confirm the order in time
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
		 * Returns whether all members hold the order.
		 * @return {@code true} if no confirmation is missing
		 */
		public boolean isInForce() {
			return this.notConfirmed.isEmpty();
		}

	}

	private record PendingAppend(AdminOrder order, long appendAtMs) {
	}

}
