package org.fulmargap.server;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;

import org.fulmargap.config.OrderRegister;
import org.fulmargap.membership.AdminOrder;

/**
 * Converts administrative orders to and from the registers of the configuration stream.
 * Registers with an unknown kind of target are skipped.
 */
final class LoggedOrders {

	private LoggedOrders() {
	}

	static OrderRegister toLog(AdminOrder order) {
		return new OrderRegister(order.target().kind().label() + "/" + order.target().name(),
				!order.state().takesNewWork(), order.counter(), order.issuer());
	}

	static List<AdminOrder> fromLog(Collection<OrderRegister> registers) {
		List<AdminOrder> orders = new ArrayList<>();
		for (OrderRegister register : registers) {
			parseTarget(register.target()).ifPresent((target) -> orders
				.add(new AdminOrder(target, register.out() ? AdminOrder.State.OUT : AdminOrder.State.IN,
						register.counter(), register.issuer())));
		}
		return orders;
	}

	private static Optional<AdminOrder.Target> parseTarget(String text) {
		for (AdminOrder.TargetKind kind : AdminOrder.TargetKind.values()) {
			String prefix = kind.label() + "/";
			if (text.startsWith(prefix) && text.length() > prefix.length()) {
				return Optional.of(new AdminOrder.Target(kind, text.substring(prefix.length())));
			}
		}
		return Optional.empty();
	}

}
