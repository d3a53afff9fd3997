package org.fulmargap.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
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

	/**
	 * The number of endpoints whose notices or last records are remembered, those that
	 * were deleted included. An endpoint that is known keeps its notice beyond that.
	 */
	private static final int MAX_REMEMBERED = 16_384;

	/**
	 * How long the end of a limit or of a brittle time is reported to other VMs, in
	 * milliseconds.
	 */
	private static final long LIMIT_END_REPORTED_MS = 3_000;

	/** The number of limits, and of brittle endpoints, that are reported to other VMs. */
	private static final int MAX_REPORTED_LIMITS = 1_024;

	private final Map<String, Endpoint> byId = new HashMap<>();

	// A deleted endpoint may be listed again by an older record of its process.
	private final Map<String, EndpointNotice> notices = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, EndpointNotice> eldest) {
			return size() > MAX_REMEMBERED;
		}
	};

	// The last records of deleted endpoints. A store that executes a write late, or came
	// back from an older copy, may list them again.
	private final Map<String, EndpointRecord> deleted = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, EndpointRecord> eldest) {
			return size() > MAX_REMEMBERED;
		}
	};

	private final Map<String, List<Endpoint>> byService = new HashMap<>();

	// When the latest process at an address started, in milliseconds since the epoch.
	private final Map<String, Long> startsByAddress = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
			return size() > MAX_REMEMBERED;
		}
	};

	private Set<String> evacuatedDomains = Set.of();

	/**
	 * Adds or updates an endpoint, unless the record is outdated: the store may execute a
	 * write seconds later, so what it lists last need not be what the endpoint wrote
	 * last.
	 * @param record a record of an endpoint
	 * @param nowMs the current time in milliseconds
	 * @return what changed
	 */
	public Change put(EndpointRecord record, long nowMs) {
		return (isOutdated(record)) ? Change.OUTDATED : apply(record, nowMs);
	}

	/**
	 * Adds or updates an endpoint by an outdated record, because the store has listed it
	 * for so long that the endpoint must be alive. A process that was draining stays so.
	 * @param record the record
	 * @param nowMs the current time in milliseconds
	 * @return what changed
	 */
	public Change putListed(EndpointRecord record, long nowMs) {
		return (endsDraining(record)) ? Change.OUTDATED : apply(record, nowMs);
	}

	private Change apply(EndpointRecord record, long nowMs) {
		Endpoint known = this.byId.get(record.id());
		if (known == null) {
			Endpoint added = new Endpoint(record, this.notices.getOrDefault(record.id(), EndpointNotice.NONE), nowMs);
			this.byId.put(record.id(), added);
			this.deleted.remove(record.id());
			list(record.service()).add(added);
			recordStart(added, nowMs);
			return Change.ADDED;
		}
		boolean wasDraining = known.record().draining();
		boolean restarted = !known.record().isSameProcess(record);
		if (!known.record().service().equals(record.service())) {
			list(known.record().service()).remove(known);
			list(record.service()).add(known);
		}
		known.update(record, nowMs);
		recordStart(known, nowMs);
		if (record.draining() && !wasDraining) {
			return Change.DRAINING;
		}
		return (restarted) ? Change.RESTARTED : Change.UPDATED;
	}

	// Whether the endpoint wrote the record before the last one of it that is known, or
	// has been removed since.
	private boolean isOutdated(EndpointRecord record) {
		EndpointRecord last = lastRecord(record.id());
		if (last == null) {
			return false;
		}
		Endpoint known = this.byId.get(record.id());
		boolean removed = known == null || known.isMarkedRemoved();
		return record.isBefore(last) || (removed && !last.isBefore(record));
	}

	private EndpointRecord lastRecord(String id) {
		Endpoint known = this.byId.get(id);
		return (known != null) ? known.record() : this.deleted.get(id);
	}

	private boolean endsDraining(EndpointRecord record) {
		EndpointRecord last = lastRecord(record.id());
		return last != null && last.draining() && !record.draining() && last.startedAtMs() == record.startedAtMs();
	}

	private void recordStart(Endpoint endpoint, long nowMs) {
		EndpointRecord record = endpoint.record();
		Long previousMs = this.startsByAddress.get(record.address());
		if (previousMs == null || previousMs < record.startedAtMs()) {
			this.startsByAddress.put(record.address(), record.startedAtMs());
			if (previousMs != null) {
				endpoint.takesOverAddress(nowMs);
			}
		}
	}

	/**
	 * Returns whether a process has ended because a later one has its address. What it
	 * kept is gone, and the later one may give the same names to other things.
	 * @param address the address of the process as {@code IP:port}
	 * @param startedAtMs when it started, in milliseconds since the epoch; 0 if it did
	 * not state it
	 * @return {@code true} if a record of a later process at the address was read
	 */
	public boolean isReplaced(String address, long startedAtMs) {
		return startedAtMs > 0 && this.startsByAddress.getOrDefault(address, 0L) > startedAtMs;
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
			boolean removable = endpoint.isRemoved(nowMs) && !endpoint.record().draining();
			if (removable && endpoint.ownInFlight() == 0) {
				this.byId.remove(endpoint.record().id());
				this.deleted.put(endpoint.record().id(), endpoint.record());
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
	 * Records that a process of an endpoint said that it is leaving. It gets no new work
	 * any more, whatever its record says.
	 * @param process the process
	 * @return whether this was not known
	 */
	public boolean recordLeaving(EndpointProcess process) {
		return add(process.endpoint(), EndpointNotice.leaving(process.startedAtMs()));
	}

	/**
	 * Records that a process of an endpoint asked this VM to send nothing for some time.
	 * An earlier request for a longer time stays in force.
	 * @param process the process
	 * @param untilMs the end of that time, in milliseconds
	 */
	public void recordRest(EndpointProcess process, long untilMs) {
		add(process.endpoint(), EndpointNotice.resting(process.startedAtMs(), untilMs));
	}

	/**
	 * Records that the clock of this VM stood still. The endpoints' rest goes on in the
	 * meantime.
	 * @param suspendedMs how long it stood still, in milliseconds
	 */
	public void recordSuspension(long suspendedMs) {
		this.notices.replaceAll((id, notice) -> notice.afterSuspension(suspendedMs));
		this.byId.values().forEach((endpoint) -> endpoint.notice(endpoint.notice().afterSuspension(suspendedMs)));
	}

	/**
	 * Returns how long it takes until an endpoint of a service has rested.
	 * @param service the name of the service
	 * @param nowMs the current time in milliseconds
	 * @return the shortest time in milliseconds, or 0 if an endpoint is available or none
	 * will be after its rest
	 */
	public long restMs(String service, long nowMs) {
		long shortestMs = Long.MAX_VALUE;
		for (Endpoint endpoint : this.byService.getOrDefault(service, List.of())) {
			boolean evacuated = this.evacuatedDomains.contains(endpoint.record().failureDomain());
			Unavailability reason = endpoint.unavailability(nowMs).orElse(null);
			if (reason == null && !evacuated) {
				return 0;
			}
			if (reason == Unavailability.RESTING && !evacuated) {
				shortestMs = Math.min(shortestMs, endpoint.notice().restUntilMs() - nowMs);
			}
		}
		return (shortestMs != Long.MAX_VALUE) ? shortestMs : 0;
	}

	/**
	 * Records what a process of an endpoint said about the rate that it takes from all
	 * entry VMs together. A newer observation that is known stays in force.
	 * @param process the process
	 * @param limit the observation
	 */
	public void recordLimit(EndpointProcess process, NamedLimit limit) {
		add(process.endpoint(), EndpointNotice.limited(process.startedAtMs(), limit));
	}

	/**
	 * Records that an answer of a process named no rate. It ends a limit unless the call
	 * was sent before the limit was named last, because answers may overtake each other.
	 * @param process the process
	 * @param sentAtMs when the call was sent, in milliseconds
	 * @param nowMs the current time in milliseconds
	 */
	public void recordNoLimit(EndpointProcess process, long sentAtMs, long nowMs) {
		EndpointNotice notice = find(process.endpoint()).map(Endpoint::notice).orElse(EndpointNotice.NONE);
		boolean ends = notice.startedAtMs() == process.startedAtMs() && notice.limit().isInForce()
				&& notice.limit().observedAtMs() < sentAtMs;
		if (ends) {
			recordLimit(process, new NamedLimit(NamedLimit.UNLIMITED, nowMs));
		}
	}

	/**
	 * Returns what processes of listed endpoints said about the rates that they take from
	 * all entry VMs together: the limits in force, and those that ended lately.
	 * @param nowMs the current time in milliseconds
	 * @return the newest observation of each process
	 */
	public Map<EndpointProcess, NamedLimit> limits(long nowMs) {
		Map<EndpointProcess, NamedLimit> limits = new HashMap<>();
		for (Endpoint endpoint : this.byId.values()) {
			EndpointNotice notice = endpoint.notice();
			NamedLimit limit = notice.limit();
			boolean reported = limit.isInForce() || nowMs - LIMIT_END_REPORTED_MS < limit.observedAtMs();
			if (reported && notice.appliesTo(endpoint.record()) && limits.size() < MAX_REPORTED_LIMITS) {
				limits.put(new EndpointProcess(endpoint.record().id(), notice.startedAtMs()), limit);
			}
		}
		return limits;
	}

	/**
	 * Records what a process of an endpoint said about the rejections that it survives. A
	 * newer observation that is known stays in force.
	 * @param process the process
	 * @param brittleness the observation
	 */
	public void recordBrittle(EndpointProcess process, Brittleness brittleness) {
		add(process.endpoint(), EndpointNotice.brittle(process.startedAtMs(), brittleness));
	}

	/**
	 * Records that an answer of a process did not say that it is brittle. It ends that
	 * state unless the call was sent before the state was named last.
	 * @param process the process
	 * @param sentAtMs when the call was sent, in milliseconds
	 * @param nowMs the current time in milliseconds
	 */
	public void recordSturdy(EndpointProcess process, long sentAtMs, long nowMs) {
		EndpointNotice notice = find(process.endpoint()).map(Endpoint::notice).orElse(EndpointNotice.NONE);
		boolean ends = notice.startedAtMs() == process.startedAtMs() && notice.brittleness().isInForce()
				&& notice.brittleness().observedAtMs() < sentAtMs;
		if (ends) {
			recordBrittle(process, new Brittleness(Brittleness.STURDY, nowMs));
		}
	}

	/**
	 * Returns what processes of listed endpoints said about the rejections that they
	 * survive: those that are brittle, and those that were lately.
	 * @param nowMs the current time in milliseconds
	 * @return the newest observation of each process
	 */
	public Map<EndpointProcess, Brittleness> brittle(long nowMs) {
		Map<EndpointProcess, Brittleness> brittle = new HashMap<>();
		for (Endpoint endpoint : this.byId.values()) {
			EndpointNotice notice = endpoint.notice();
			Brittleness brittleness = notice.brittleness();
			boolean reported = brittleness.isInForce() || nowMs - LIMIT_END_REPORTED_MS < brittleness.observedAtMs();
			if (reported && notice.appliesTo(endpoint.record()) && brittle.size() < MAX_REPORTED_LIMITS) {
				brittle.put(new EndpointProcess(endpoint.record().id(), notice.startedAtMs()), brittleness);
			}
		}
		return brittle;
	}

	/**
	 * Records the load that a process of an endpoint stated in a response. Ignored if the
	 * endpoint is not listed or has another process by now.
	 * @param process the process
	 * @param load the load
	 * @param nowMs the current time in milliseconds
	 */
	public void recordLoad(EndpointProcess process, EndpointLoadNotice load, long nowMs) {
		find(process.endpoint()).ifPresent((endpoint) -> endpoint.recordLoad(process.startedAtMs(), load, nowMs));
	}

	private boolean add(String id, EndpointNotice notice) {
		Endpoint known = this.byId.get(id);
		EndpointNotice earlier = (known != null) ? known.notice() : this.notices.getOrDefault(id, EndpointNotice.NONE);
		EndpointNotice newest = earlier.plus(notice);
		this.notices.put(id, newest);
		if (known != null) {
			known.notice(newest);
		}
		return !newest.equals(earlier);
	}

	/**
	 * Returns the processes of listed endpoints that said that they are leaving, other
	 * than those that are also draining by their record.
	 * @param nowMs the current time in milliseconds
	 * @return the processes
	 */
	public Set<EndpointProcess> leaving(long nowMs) {
		Set<EndpointProcess> leaving = new HashSet<>();
		setAside(nowMs).forEach((endpoint, reason) -> {
			if (reason == Unavailability.LEAVING) {
				leaving.add(new EndpointProcess(endpoint.record().id(), endpoint.notice().startedAtMs()));
			}
		});
		return leaving;
	}

	/**
	 * Returns the listed endpoints that get no new work because they announced it.
	 * @param nowMs the current time in milliseconds
	 * @return the reason of each of these endpoints
	 */
	public Map<Endpoint, Unavailability> setAside(long nowMs) {
		Map<Endpoint, Unavailability> setAside = new HashMap<>();
		for (Endpoint endpoint : this.byId.values()) {
			endpoint.unavailability(nowMs)
				.filter(Unavailability::isAnnounced)
				.ifPresent((reason) -> setAside.put(endpoint, reason));
		}
		return setAside;
	}

	/**
	 * Returns whether a service gets no work because its endpoints announced it.
	 * @param service the name of the service
	 * @param nowMs the current time in milliseconds
	 * @return {@code true} if none of its endpoints is available and one of them is set
	 * aside
	 */
	public boolean isSetAside(String service, long nowMs) {
		boolean setAside = false;
		for (Endpoint endpoint : this.byService.getOrDefault(service, List.of())) {
			if (mayUse(endpoint, nowMs)) {
				return false;
			}
			setAside |= endpoint.isSetAside(nowMs);
		}
		return setAside;
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
	 * Returns the endpoint at an address, which may have belonged to others before.
	 * @param address the address as {@code IP:port}
	 * @return the endpoint that started last, or empty if none has the address
	 */
	public Optional<Endpoint> findByAddress(String address) {
		return this.byId.values()
			.stream()
			.filter((endpoint) -> endpoint.record().address().equals(address))
			.max(Comparator.comparingLong((endpoint) -> endpoint.record().startedAtMs()));
	}

	/**
	 * Returns the software versions of the known endpoints of each service, including
	 * draining and removed ones.
	 * @return the versions by service
	 */
	public Map<String, Set<String>> softwareVersions() {
		Map<String, Set<String>> versions = new HashMap<>();
		for (Endpoint endpoint : this.byId.values()) {
			EndpointRecord record = endpoint.record();
			versions.computeIfAbsent(record.service(), (name) -> new HashSet<>()).add(record.softwareVersion());
		}
		return versions;
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
		ADDED(true),

		/** The endpoint has started to drain. */
		DRAINING(true),

		/** A new process of the endpoint has started. */
		RESTARTED(true),

		/** Something else changed, or nothing. */
		UPDATED(false),

		/**
		 * Nothing changed: the endpoint wrote the record before the last known one, or
		 * before it was removed.
		 */
		OUTDATED(false);

		private final boolean affectsWork;

		Change(boolean affectsWork) {
			this.affectsWork = affectsWork;
		}

		/**
		 * Returns whether the endpoint may get work that it could not get before, or the
		 * other way round.
		 * @return {@code true} if it was added, drains or has started again
		 */
		public boolean affectsWork() {
			return this.affectsWork;
		}

	}

}
