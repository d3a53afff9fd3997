package org.fulmargap.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

import org.fulmargap.catalog.ServiceSpec;
import org.fulmargap.entry.peer.PeerNetwork;
import org.fulmargap.entry.rollout.Rollouts;
import org.fulmargap.placement.DomainLoad;
import org.fulmargap.placement.DomainSpill;
import org.fulmargap.placement.Endpoint;
import org.fulmargap.placement.Placement;

/**
 * The shares of the requests of each service that may leave the failure domain of this
 * VM. If the settings don't enable it, all requests may. Confined to the event loop.
 */
public final class DomainSpills {

	private static final double PERCENT = 100;

	private final boolean enabled;

	private final String domain;

	private final StoreView view;

	private final PeerNetwork peers;

	private final Rollouts rollouts;

	private final EntryMetrics metrics;

	private final Map<String, DomainSpill> spills = new HashMap<>();

	private final Map<String, Double> loggedShares = new HashMap<>();

	// Stands for the attempt id of requests without one.
	private long unidentified;

	/**
	 * Creates the shares of a VM, by which all requests stay.
	 * @param enabled whether there are shares at all
	 * @param domain the failure domain of the VM
	 * @param view this VM's view of the platform's store
	 * @param peers the other VMs
	 * @param rollouts the rollouts between software versions
	 * @param metrics gauges
	 */
	public DomainSpills(boolean enabled, String domain, StoreView view, PeerNetwork peers, Rollouts rollouts,
			EntryMetrics metrics) {
		this.enabled = enabled;
		this.domain = domain;
		this.view = view;
		this.peers = peers;
		this.rollouts = rollouts;
		this.metrics = metrics;
	}

	/**
	 * Decides on the newest reports of the VMs.
	 * @param nowMs the current time in milliseconds
	 */
	public void update(long nowMs) {
		if (this.enabled) {
			this.view.catalog().ifPresent((catalog) -> {
				this.spills.keySet().retainAll(catalog.services().keySet());
				this.loggedShares.keySet().retainAll(catalog.services().keySet());
				catalog.services().values().forEach((service) -> update(service, nowMs));
			});
		}
	}

	private void update(ServiceSpec service, long nowMs) {
		List<Endpoint> available = this.rollouts.usable(service.name(),
				this.view.directory().available(service.name(), nowMs), nowMs);
		Map<String, List<Endpoint>> byDomain = available.stream()
			.collect(Collectors.groupingBy((endpoint) -> endpoint.record().failureDomain()));
		DomainLoad home = DomainLoad.of(byDomain.getOrDefault(this.domain, List.of()), nowMs);
		byDomain.keySet().removeIf((other) -> other.equals(this.domain) || this.peers.isCutOffFrom(other));
		List<DomainLoad> others = byDomain.values().stream().map((list) -> DomainLoad.of(list, nowMs)).toList();
		boolean complete = 2 * this.peers.aliveCount() > this.peers.vmCount();
		DomainSpill spill = this.spills.computeIfAbsent(service.name(),
				(name) -> new DomainSpill(service.engine() != null));
		log(service.name(), spill.update(home, others, complete, nowMs));
	}

	private void log(String service, DomainSpill.Decision decision) {
		String labels = "{service=\"" + service + "\"}";
		this.metrics.gauge("domain_spill_percent" + labels, (int) Math.round(decision.share() * PERCENT));
		this.metrics.gauge("domain_wait_home_ms" + labels, (int) Math.round(decision.homeMs()));
		this.metrics.gauge("domain_wait_elsewhere_ms" + labels, (int) Math.round(decision.elsewhereMs()));
		Double logged = this.loggedShares.put(service, decision.share());
		if (decision.share() != ((logged != null) ? logged : 0)) {
			EventLog.state("domain_spill")
				.with("service", service)
				.with("domain", this.domain)
				.with("share", String.format(Locale.ROOT, "%.2f", decision.share()))
				.with("home_ms", Math.round(decision.homeMs()))
				.with("elsewhere_ms", Math.round(decision.elsewhereMs()))
				.with("leaving_ms", Math.round(decision.leavingMs()))
				.with("reason", decision.reason().name().toLowerCase(Locale.ROOT))
				.write();
		}
	}

	/**
	 * Returns whether a request may leave the failure domain of this VM.
	 * @param service the name of its service
	 * @param attemptId the id of the attempt, or an empty string
	 * @return {@code true} if it may
	 */
	public boolean mayLeave(String service, String attemptId) {
		if (!this.enabled) {
			return true;
		}
		DomainSpill spill = this.spills.get(service);
		String id = (attemptId.isEmpty()) ? Long.toString(this.unidentified++) : attemptId;
		return spill != null && spill.mayLeave(id);
	}

	/**
	 * Records what a request would lose by leaving.
	 * @param service the name of its service
	 * @param available the endpoints to which the request may be sent
	 * @param demand what the request needs
	 */
	public void record(String service, List<Endpoint> available, Placement.Demand demand) {
		DomainSpill spill = this.spills.get(service);
		if (spill != null) {
			Map<Boolean, List<Endpoint>> split = available.stream().collect(Collectors.partitioningBy(this::isHome));
			spill.record(demand, split.get(true), this.domain, split.get(false));
		}
	}

	/**
	 * Returns the endpoints that are tried first for a request.
	 * @param available the endpoints to which the request may be sent
	 * @param mayLeave whether the request may leave
	 * @param demand what the request needs
	 * @return those in the failure domain of this VM, and also those elsewhere that can
	 * be reached if the request may leave
	 */
	public List<Endpoint> preferred(List<Endpoint> available, boolean mayLeave, Placement.Demand demand) {
		if (!this.enabled) {
			return available;
		}
		if (!mayLeave && !DomainSpill.hasInputsElsewhere(demand, this.domain)) {
			return available.stream().filter(this::isHome).toList();
		}
		Map<String, Boolean> cutOff = new HashMap<>();
		return available.stream()
			.filter((endpoint) -> isHome(endpoint)
					|| !cutOff.computeIfAbsent(endpoint.record().failureDomain(), this.peers::isCutOffFrom))
			.toList();
	}

	private boolean isHome(Endpoint endpoint) {
		return endpoint.record().failureDomain().equals(this.domain);
	}

}
