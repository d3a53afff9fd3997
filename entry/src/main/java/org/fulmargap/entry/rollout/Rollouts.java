package org.fulmargap.entry.rollout;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;

import org.fulmargap.entry.EntryMetrics;
import org.fulmargap.entry.EventLog;
import org.fulmargap.entry.peer.PeerNetwork;
import org.fulmargap.fleet.RolloutExchange;
import org.fulmargap.placement.Endpoint;
import org.fulmargap.placement.EndpointDirectory;
import org.fulmargap.rollout.RolloutDecision;
import org.fulmargap.rollout.RolloutLimits;
import org.fulmargap.rollout.RolloutOrder;
import org.fulmargap.rollout.RolloutReport;
import org.fulmargap.rollout.RolloutStep;
import org.fulmargap.rollout.VersionSplit;

/**
 * The rollouts that this VM follows. Without bounds of what a bad version may get, orders
 * have no effect. Confined to the event loop.
 */
public final class Rollouts {

	/**
	 * How long endpoints of a version that a service did not have before get no requests,
	 * in milliseconds: the order of their rollout may not have been read yet.
	 */
	private static final long HOLD_MS = 1_000;

	/**
	 * An order that is read within this time after the start of this VM may have been
	 * followed by others before, in milliseconds.
	 */
	private static final long START_MS = 10_000;

	/** The length of the longest version that is logged whole, in characters. */
	private static final int MAX_LOGGED_LENGTH = 100;

	private final Optional<RolloutLimits> limits;

	private final EndpointDirectory directory;

	private final PeerNetwork peers;

	private final RolloutStore store;

	private final EntryMetrics metrics;

	private final long startedAtMs;

	private final Map<String, ServiceRollout> rollouts = new HashMap<>();

	// The versions of orders that were reverted or replaced.
	private final Map<String, Set<String>> excludedVersions = new HashMap<>();

	// The services whose rollouts ended by the removal of the order, or before it.
	private final Set<String> removedOrders = new HashSet<>();

	/**
	 * Creates the rollouts of a VM.
	 * @param limits the bounds of what a bad version may get, or empty if there are no
	 * rollouts
	 * @param directory the endpoints
	 * @param peers the other VMs
	 * @param store keeps the progress of the rollouts
	 * @param metrics counters and gauges
	 * @param clockMs the current time in milliseconds
	 */
	public Rollouts(Optional<RolloutLimits> limits, EndpointDirectory directory, PeerNetwork peers, RolloutStore store,
			EntryMetrics metrics, LongSupplier clockMs) {
		this.limits = limits;
		this.directory = directory;
		this.peers = peers;
		this.store = store;
		this.metrics = metrics;
		this.startedAtMs = clockMs.getAsLong();
	}

	/**
	 * Follows an order of an operator.
	 * @param service the name of the service
	 * @param order the order, or empty if it was removed
	 * @param nowMs the current time in milliseconds
	 */
	public void ordered(String service, Optional<RolloutOrder> order, long nowMs) {
		EventLog.state("rollout_ordered")
			.with("service", service)
			.with("to", order.map((ordered) -> EventLog.cut(ordered.toVersion(), MAX_LOGGED_LENGTH)).orElse("none"))
			.with("duration_ms", order.map(RolloutOrder::durationMs).orElse(0L))
			.with("order", order.map(RolloutOrder::id).orElse(-1L))
			.with("followed", this.limits.isPresent())
			.write();
		if (this.limits.isEmpty()) {
			return;
		}
		ServiceRollout known = this.rollouts.get(service);
		if (order.isEmpty()) {
			if (known != null) {
				known.withdraw("order_removed", nowMs);
				this.removedOrders.add(service);
			}
		}
		else if (known != null && isRepeat(known.split(), order.get())) {
			known.renumber(order.get().id());
		}
		else {
			replace(known, order.get(), nowMs);
		}
	}

	// A store that came back from an older copy gets the same order again.
	private static boolean isRepeat(VersionSplit split, RolloutOrder order) {
		RolloutOrder known = split.order();
		boolean sameContent = known.toVersion().equals(order.toVersion()) && known.durationMs() == order.durationMs();
		return sameContent && (known.id() >= order.id() || !split.step().state().isFinal());
	}

	private void replace(ServiceRollout known, RolloutOrder order, long nowMs) {
		this.removedOrders.remove(order.service());
		Set<String> excluded = this.excludedVersions.computeIfAbsent(order.service(), (name) -> new HashSet<>());
		if (known != null) {
			known.withdraw("order_replaced", nowMs);
			if (!known.split().isComplete()) {
				excluded.add(known.split().order().toVersion());
			}
		}
		excluded.remove(order.toVersion());
		boolean atStart = nowMs - this.startedAtMs < START_MS;
		double ownSlack = (atStart) ? 0
				: this.limits.get().exposureSlack() / (double) Math.max(1, this.peers.vmCount());
		ServiceRollout rollout = new ServiceRollout(order, this.limits.get(), ownSlack, this.directory, this.store,
				this.metrics, nowMs);
		this.rollouts.put(order.service(), rollout);
		if (atStart) {
			rollout.readProgress(nowMs);
		}
		else if (servesAlone(order, nowMs)) {
			rollout.alreadyInForce(nowMs);
		}
	}

	private boolean servesAlone(RolloutOrder order, long nowMs) {
		boolean isOnly = this.directory.softwareVersions()
			.getOrDefault(order.service(), Set.of())
			.equals(Set.of(order.toVersion()));
		return isOnly && this.directory.available(order.service(), nowMs)
			.stream()
			.anyMatch((endpoint) -> endpoint.knownForMs(nowMs) >= HOLD_MS);
	}

	/**
	 * Ends the rollout that an invalid order replaces.
	 * @param service the name of the service
	 * @param nowMs the current time in milliseconds
	 */
	public void refused(String service, long nowMs) {
		if (this.limits.isEmpty()) {
			return;
		}
		ServiceRollout known = this.rollouts.get(service);
		if (known != null) {
			known.withdraw("order_invalid", nowMs);
		}
		if (this.peers.coordinatorOf(service).equals(this.peers.ownName())) {
			this.store.refuse(service);
		}
	}

	/**
	 * Returns how the requests to a service are divided between two versions.
	 * @param service the name of the service
	 * @return the split, or empty if there was no order
	 */
	public Optional<VersionSplit> split(String service) {
		return Optional.ofNullable(this.rollouts.get(service)).map(ServiceRollout::split);
	}

	/**
	 * Returns the endpoints of a service that may get requests, whatever their share.
	 * @param service the name of the service
	 * @param available the available endpoints
	 * @param nowMs the current time in milliseconds
	 * @return those whose version is not excluded, and not so new that its order may be
	 * missing
	 */
	public List<Endpoint> usable(String service, List<Endpoint> available, long nowMs) {
		if (this.limits.isEmpty()) {
			return available;
		}
		ServiceRollout rollout = this.rollouts.get(service);
		if (rollout != null && rollout.isUnknown(nowMs)) {
			return List.of();
		}
		Set<String> excluded = this.excludedVersions.getOrDefault(service, Set.of());
		boolean ordered = rollout != null;
		return available.stream()
			.filter((endpoint) -> !excluded.contains(endpoint.record().softwareVersion()))
			.filter((endpoint) -> ordered || !isUnordered(endpoint, available, nowMs))
			.toList();
	}

	private static boolean isUnordered(Endpoint endpoint, List<Endpoint> available, long nowMs) {
		return endpoint.knownForMs(nowMs) < HOLD_MS
				&& available.stream()
					.anyMatch((other) -> other.knownForMs(nowMs) >= HOLD_MS
							&& !other.record().softwareVersion().equals(endpoint.record().softwareVersion()))
				&& available.stream()
					.noneMatch((other) -> other.knownForMs(nowMs) >= HOLD_MS
							&& other.record().softwareVersion().equals(endpoint.record().softwareVersion()));
	}

	/**
	 * Takes in what a peer tells of rollouts.
	 * @param peer the name of the peer
	 * @param exchange what it tells
	 * @param nowMs the current time in milliseconds
	 */
	public void reported(String peer, RolloutExchange exchange, long nowMs) {
		this.rollouts.forEach((service, rollout) -> rollout.reported(peer, exchange.reports().get(service),
				exchange.steps().get(service), nowMs));
	}

	/**
	 * Coordinates the rollouts of the services of which this VM is the coordinator.
	 * Called with each heartbeat.
	 * @param nowMs the current time in milliseconds
	 */
	public void update(long nowMs) {
		if (this.rollouts.isEmpty()) {
			return;
		}
		int vmsInTouch = this.peers.aliveCount();
		// The larger part of the fleet coordinates. Without a step, the others send
		// nothing to the new version.
		boolean isCutOff = 2 * vmsInTouch < this.peers.vmCount();
		Map<String, Set<String>> versions = this.directory.softwareVersions();
		// Once the old endpoints are gone, a completed rollout without an order must not
		// keep later versions from getting requests.
		this.rollouts.values().removeIf((rollout) -> isOver(rollout.split(), versions));
		this.rollouts.forEach((service, rollout) -> {
			VersionSplit split = rollout.split();
			int updated = (int) this.directory.available(service, nowMs).stream().filter(split::isUpdated).count();
			boolean inForce = versions.getOrDefault(service, Set.of()).equals(Set.of(split.order().toVersion()));
			rollout.update(!isCutOff && this.peers.coordinatorOf(service).equals(this.peers.ownName()),
					new RolloutDecision.ServiceState(vmsInTouch, updated), inForce, nowMs);
		});
	}

	private boolean isOver(VersionSplit split, Map<String, Set<String>> versions) {
		RolloutOrder order = split.order();
		return split.isComplete() && this.removedOrders.contains(order.service())
				&& versions.getOrDefault(order.service(), Set.of()).equals(Set.of(order.toVersion()));
	}

	/**
	 * Writes the states again after the store came back from an older copy.
	 */
	public void storeRestored() {
		this.rollouts.values().forEach(ServiceRollout::storeRestored);
	}

	/**
	 * Returns what this VM tells its peers.
	 * @param nowMs the current time in milliseconds
	 * @return its reports, and the steps of the services that it coordinates
	 */
	public RolloutExchange own(long nowMs) {
		if (this.rollouts.isEmpty()) {
			return RolloutExchange.NONE;
		}
		Map<String, RolloutReport> reports = new HashMap<>();
		Map<String, RolloutStep> steps = new HashMap<>();
		this.rollouts.forEach((service, rollout) -> {
			reports.put(service, rollout.report(nowMs));
			if (rollout.allowed() != null) {
				steps.put(service, rollout.allowed());
			}
		});
		return new RolloutExchange(reports, steps);
	}

}
