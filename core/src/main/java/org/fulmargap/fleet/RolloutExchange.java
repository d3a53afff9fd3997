package org.fulmargap.fleet;

import java.util.HashMap;
import java.util.Map;

import org.fulmargap.rollout.RolloutReport;
import org.fulmargap.rollout.RolloutStep;

/**
 * What VMs tell each other about rollouts, by service.
 *
 * @param reports what the VMs have seen since the orders
 * @param steps what the coordinators of the services allow
 */
public record RolloutExchange(Map<String, RolloutReport> reports, Map<String, RolloutStep> steps) {

	/** No rollouts. */
	public static final RolloutExchange NONE = new RolloutExchange(Map.of(), Map.of());

	/**
	 * Creates an exchange with copies of the maps.
	 */
	public RolloutExchange {
		reports = Map.copyOf(reports);
		steps = Map.copyOf(steps);
	}

	/**
	 * Returns whether there is nothing to tell.
	 * @return {@code true} if there are no rollouts
	 */
	public boolean isEmpty() {
		return this.reports.isEmpty() && this.steps.isEmpty();
	}

	/**
	 * Adds up the reports, and keeps the step that holds of each service.
	 * @param other what other VMs tell
	 * @return both together
	 */
	public RolloutExchange plus(RolloutExchange other) {
		Map<String, RolloutReport> sums = new HashMap<>(this.reports);
		other.reports.forEach((service, report) -> sums.merge(service, report, RolloutExchange::add));
		Map<String, RolloutStep> newest = new HashMap<>(this.steps);
		other.steps.forEach((service, step) -> newest.merge(service, step, RolloutStep::newest));
		return new RolloutExchange(sums, newest);
	}

	private static RolloutReport add(RolloutReport first, RolloutReport second) {
		if (first.orderId() == second.orderId()) {
			return first.plus(second);
		}
		return (first.orderId() > second.orderId()) ? first : second;
	}

}
