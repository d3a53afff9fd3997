package org.fulmargap.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The endpoints listed in the platform's store, by service. Confined to one thread.
 */
public final class EndpointDirectory {

	/**
	 * How long an endpoint is still used if its record may have expired because of an
	 * outage of the store, in milliseconds. Must be less than the time after which a
	 * draining endpoint must get no new work.
	 */
	public static final long LAPSE_GRACE_MS = 1_000;

	private final Map<String, Endpoint> byId = new HashMap<>();

	private final Map<String, List<Endpoint>> byService = new HashMap<>();

	private Set<String> evacuatedDomains = Set.of();

	/**
	 * Adds or updates an endpoint.
	 * @param record the newest record of an endpoint
	 * @param nowMs the current time in milliseconds
	 * @return what changed
	 */
	public Change put(EndpointRecord record, long nowMs) {
		Endpoint known = this.byId.get(record.id());
		if (known == null) {
			Endpoint added = new Endpoint(record, nowMs);
			this.byId.put(record.id(), added);
			list(record.service()).add(added);
			return Change.ADDED;
		}
		boolean wasDraining = known.record().draining();
		if (!known.record().service().equals(record.service())) {
			list(known.record().service()).remove(known);
			list(record.service()).add(known);
		}
		known.update(record, nowMs);
		return (record.draining() && !wasDraining) ? Change.DRAINING : Change.UPDATED;
	}

	/**
	 * Marks an endpoint as removed. It stays known until {@link #purge}.
	 * @param id the name of the endpoint
	 * @param graceMs how long it may still be used, in milliseconds
	 * @param nowMs the current time in milliseconds
	 * @return whether it was known
	 */
	public boolean remove(String id, long graceMs, long nowMs) {
		Endpoint known = this.byId.get(id);
		if (known == null) {
			return false;
		}
		known.removeAt(nowMs + graceMs);
		return true;
	}

	/**
	 * Deletes the removed endpoints whose grace period has ended and which have no
	 * requests of this VM in flight. Draining endpoints are kept.
	 * @param nowMs the current time in milliseconds
	 */
	public void purge(long nowMs) {
		for (Endpoint endpoint : List.copyOf(this.byId.values())) {
			boolean removable = !endpoint.isAvailable(nowMs) && !endpoint.record().draining();
			if (removable && endpoint.ownInFlight() == 0) {
				this.byId.remove(endpoint.record().id());
				list(endpoint.record().service()).remove(endpoint);
			}
		}
	}

	/**
	 * Removes all endpoints that are missing from a complete listing of the store.
	 * @param ids the names in the listing
	 * @param graceMs how long the missing ones may still be used, in milliseconds
	 * @param nowMs the current time in milliseconds
	 */
	public void retain(Set<String> ids, long graceMs, long nowMs) {
		Set<String> missing = new HashSet<>(this.byId.keySet());
		missing.removeAll(ids);
		missing.forEach((id) -> remove(id, graceMs, nowMs));
	}

	/**
	 * Replaces the set of failure domains that get no new work.
	 * @param domains the names of the domains
	 */
	public void evacuate(Set<String> domains) {
		this.evacuatedDomains = Set.copyOf(domains);
	}

	/**
	 * Returns the endpoints of a service that may get new work.
	 * @param service the name of the service
	 * @param nowMs the current time in milliseconds
	 * @return the endpoints in the order in which they were added to the service
	 */
	public List<Endpoint> available(String service, long nowMs) {
		List<Endpoint> available = new ArrayList<>();
		for (Endpoint endpoint : this.byService.getOrDefault(service, List.of())) {
			if (mayUse(endpoint, nowMs)) {
				available.add(endpoint);
			}
		}
		return available;
	}

	/**
	 * Returns whether an endpoint may get new work.
	 * @param endpoint the endpoint
	 * @param nowMs the current time in milliseconds
	 * @return {@code true} if it is available and its failure domain isn't evacuated
	 */
	public boolean mayUse(Endpoint endpoint, long nowMs) {
		return endpoint.isAvailable(nowMs) && !this.evacuatedDomains.contains(endpoint.record().failureDomain());
	}

	/**
	 * Returns the endpoint of a name.
	 * @param id the name of the endpoint
	 * @return the endpoint, or empty if it is not known
	 */
	public Optional<Endpoint> find(String id) {
		return Optional.ofNullable(this.byId.get(id));
	}

	/**
	 * Returns all known endpoints, including draining and removed ones.
	 * @return the endpoints
	 */
	public List<Endpoint> all() {
		return List.copyOf(this.byId.values());
	}

	private List<Endpoint> list(String service) {
		return this.byService.computeIfAbsent(service, (name) -> new ArrayList<>());
	}

	/**
	 * The effect of a record.
	 */
	public enum Change {

		/** The endpoint was not known before. */
		ADDED,

		/** The endpoint has started to drain. */
		DRAINING,

		/** Something else changed, or nothing. */
		UPDATED

	}

}
