package org.fulmargap.routing;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.stream.Stream;

import org.fulmargap.config.Configuration;
import org.fulmargap.routing.EndpointState.MemberView;

/**
 * Routes each attempt to the endpoint with the lowest expected extra time, compares a
 * sample of the endpoints of each service, and prefers the entry VM's own failure domain.
 * The state of the endpoints is divided into shards, each guarded by its own lock.
 */
public final class AdaptiveRouter implements Router {

	private static final int SHARDS = 16;

	/**
	 * Groups of at most this many endpoints are scanned whole. In larger groups two
	 * random endpoints are compared first.
	 */
	private static final int MAX_FULL_SCAN = 3;

	/**
	 * The extra cost in milliseconds up to which an owner of a prefix is preferred over
	 * the endpoint that would be selected otherwise.
	 */
	private static final double OWNER_PREFERENCE_MS = 50;

	private static final long MIN_PROGRESS_LIMIT_MS = 200;

	private final RouterSettings settings;

	private final SlowStart slowStart;

	private final Shard[] shards = new Shard[SHARDS];

	private final ConcurrentHashMap<String, ServiceStats> stats = new ConcurrentHashMap<>();

	private final AtomicLong randomCount = new AtomicLong();

	private volatile Topology topology = Topology.of(Configuration.EMPTY, Set.of(), "");

	private boolean configured;

	/**
	 * Creates a router without endpoints.
	 * @param settings the settings of this entry VM
	 */
	public AdaptiveRouter(RouterSettings settings) {
		this.settings = Objects.requireNonNull(settings, "settings");
		this.slowStart = new SlowStart(settings.initialConcurrency(), settings.doublingMs());
		for (int i = 0; i < SHARDS; i++) {
			this.shards[i] = new Shard();
		}
	}

	@Override
	public synchronized void update(Configuration configuration, Set<String> unavailable, Collection<String> members,
			long nowMs) {
		TreeSet<String> names = new TreeSet<>(members);
		names.add(this.settings.vm());
		MemberView view = new MemberView(this.settings.vm(), List.copyOf(names));
		configuration.endpoints().forEach((name, spec) -> {
			Shard shard = shard(name);
			synchronized (shard) {
				// The endpoints of the first configuration may have been running for a
				// long time, so their start counts as not observed.
				EndpointState state = shard.states.computeIfAbsent(name,
						(key) -> new EndpointState(key, spec, view, this.configured, nowMs));
				state.update(spec, view, !unavailable.contains(name), nowMs);
			}
		});
		for (Shard shard : this.shards) {
			synchronized (shard) {
				shard.states.keySet().retainAll(configuration.endpoints().keySet());
			}
		}
		this.configured |= !configuration.endpoints().isEmpty();
		this.topology = Topology.of(configuration, unavailable, this.settings.failureDomain());
	}

	@Override
	public Optional<Reservation> select(RouteRequest request, long nowMs) {
		Topology.Service service = this.topology.service(request.service());
		List<String> others = (request.ownDomainOnly()) ? List.of() : service.others();
		ServiceStats serviceStats = stats(request.service());
		Candidate own = best(service.own(), request, serviceStats, nowMs);
		Candidate other = best(others, request, serviceStats, nowMs);
		Candidate chosen = choose(own, other, serviceStats);
		if (!request.prefixKey().isEmpty()) {
			List<String> owners = owners(request.prefixKey(),
					(request.ownDomainOnly()) ? service.own() : service.all());
			Candidate owner = scan(owners, 0, request, serviceStats, nowMs);
			// All entry VMs must send a new prefix to the same owners. Otherwise each
			// failure domain would compute and store it.
			if (owner != null && (chosen == null || owner.cost <= chosen.cost + OWNER_PREFERENCE_MS)) {
				chosen = owner;
			}
		}
		if (chosen != null) {
			Optional<Reservation> reservation = reserve(chosen.endpoint, request, serviceStats, nowMs);
			if (reservation.isPresent()) {
				return reservation;
			}
		}
		// Another thread may have reserved the last slot of the chosen endpoint.
		return firstFree(service.own(), request, serviceStats, nowMs)
			.or(() -> firstFree(others, request, serviceStats, nowMs));
	}

	@Override
	public void observeLoad(String endpoint, LoadReport report, long nowMs) {
		withState(endpoint, (state) -> state.observe(report, this.slowStart, nowMs));
	}

	/**
	 * Records an event of the prefix cache of an endpoint.
	 * @param endpoint the name of the endpoint
	 * @param prefixKey identifies the prefix
	 * @param tokens the number of cached tokens, zero if the prefix was evicted
	 * @param nowMs the current time in milliseconds since the epoch
	 */
	public void observeCache(String endpoint, String prefixKey, int tokens, long nowMs) {
		withState(endpoint, (state) -> state.prefixes().recordCacheEvent(prefixKey, tokens, nowMs));
	}

	@Override
	public Map<String, Long> warmUpStarts() {
		Map<String, Long> starts = new TreeMap<>();
		for (Shard shard : this.shards) {
			synchronized (shard) {
				shard.states.forEach((name, state) -> {
					if (state.warmUp().isObserved() && !state.isWarm(this.slowStart)) {
						starts.put(name, state.warmUp().startMs());
					}
				});
			}
		}
		return starts;
	}

	@Override
	public void mergeWarmUpStarts(Map<String, Long> starts, long nowMs) {
		starts.forEach((endpoint, startMs) -> withState(endpoint, (state) -> {
			if (state.warmUp().merge(startMs, nowMs)) {
				state.prefixes().clear();
			}
		}));
	}

	@Override
	public long expectedStageMs(String service) {
		return stats(service).medianMs();
	}

	@Override
	public long progressLimitMs(String service, long remainingMs) {
		return Math.min(remainingMs / 2, Math.max(MIN_PROGRESS_LIMIT_MS, 4 * stats(service).p99Ms()));
	}

	@Override
	public int concurrencyShare(String service, long nowMs) {
		Topology.Service endpoints = this.topology.service(service);
		int share = 0;
		for (List<String> group : List.of(endpoints.own(), endpoints.others())) {
			for (String endpoint : group) {
				share += query(endpoint, (shard, state) -> {
					state.advance(this.slowStart, nowMs);
					boolean isUsable = state.acceptsRequests(nowMs) && !state.isBackingOff();
					return (isUsable) ? state.usableConcurrency(this.slowStart, nowMs) : 0;
				}, 0);
			}
		}
		boolean isAny = !endpoints.own().isEmpty() || !endpoints.others().isEmpty();
		return (isAny) ? Math.max(1, share) : 0;
	}

	private Candidate choose(Candidate own, Candidate other, ServiceStats serviceStats) {
		if (own == null || other == null) {
			return (own != null) ? own : other;
		}
		// A smaller difference does not justify a dependency on another failure domain.
		double spillMs = Math.max(5, serviceStats.medianMs() / 4.0);
		return (own.cost <= other.cost + spillMs) ? own : other;
	}

	private Candidate best(List<String> group, RouteRequest request, ServiceStats serviceStats, long nowMs) {
		if (group.isEmpty()) {
			return null;
		}
		int first = random(group.size());
		Candidate best = null;
		if (group.size() > MAX_FULL_SCAN) {
			best = scan(List.of(group.get(first), group.get(random(group.size()))), 0, request, serviceStats, nowMs);
		}
		return (best != null) ? best : scan(group, first, request, serviceStats, nowMs);
	}

	private Candidate scan(List<String> endpoints, int first, RouteRequest request, ServiceStats serviceStats,
			long nowMs) {
		Candidate best = null;
		for (int i = 0; i < endpoints.size(); i++) {
			String endpoint = endpoints.get((first + i) % endpoints.size());
			if (!request.excluded().contains(endpoint)) {
				double cost = query(endpoint,
						(shard, state) -> state.cost(request, serviceStats, this.slowStart, nowMs), -1.0);
				if (cost >= 0 && (best == null || cost < best.cost)) {
					best = new Candidate(endpoint, cost);
				}
			}
		}
		return best;
	}

	private static List<String> owners(String prefixKey, List<String> group) {
		String first = null;
		String second = null;
		long firstScore = Long.MIN_VALUE;
		long secondScore = Long.MIN_VALUE;
		for (String endpoint : group) {
			long score = Rendezvous.score(prefixKey, endpoint);
			if (score > firstScore) {
				second = first;
				secondScore = firstScore;
				first = endpoint;
				firstScore = score;
			}
			else if (score > secondScore) {
				second = endpoint;
				secondScore = score;
			}
		}
		return Stream.of(first, second).filter(Objects::nonNull).toList();
	}

	private int random(int bound) {
		long value = Rendezvous.mix(this.settings.seed() + this.randomCount.incrementAndGet() * 0x9e3779b97f4a7c15L);
		return (int) Math.floorMod(value, (long) bound);
	}

	private Optional<Reservation> firstFree(List<String> group, RouteRequest request, ServiceStats serviceStats,
			long nowMs) {
		for (String endpoint : group) {
			Optional<Reservation> reservation = (request.excluded().contains(endpoint)) ? Optional.empty()
					: reserve(endpoint, request, serviceStats, nowMs);
			if (reservation.isPresent()) {
				return reservation;
			}
		}
		return Optional.empty();
	}

	private Optional<Reservation> reserve(String endpoint, RouteRequest request, ServiceStats serviceStats,
			long nowMs) {
		return query(endpoint, (shard, state) -> {
			if (state.cost(request, serviceStats, this.slowStart, nowMs) < 0) {
				return Optional.empty();
			}
			boolean probe = state.reserve(request.isolated());
			Lease lease = new Lease(shard, state, request, serviceStats, probe, this.slowStart, nowMs);
			state.addLease(lease);
			return Optional.of(lease);
		}, Optional.empty());
	}

	private ServiceStats stats(String service) {
		return this.stats.computeIfAbsent(service, (key) -> new ServiceStats());
	}

	private Shard shard(String endpoint) {
		return this.shards[Math.floorMod(endpoint.hashCode(), SHARDS)];
	}

	private void withState(String endpoint, Consumer<EndpointState> action) {
		query(endpoint, (shard, state) -> {
			action.accept(state);
			return null;
		}, null);
	}

	private <T> T query(String endpoint, BiFunction<Shard, EndpointState, T> function, T absent) {
		Shard shard = shard(endpoint);
		synchronized (shard) {
			EndpointState state = shard.states.get(endpoint);
			return (state != null) ? function.apply(shard, state) : absent;
		}
	}

	/**
	 * The state of some of the endpoints, guarded by the monitor of the shard.
	 */
	static final class Shard {

		private final Map<String, EndpointState> states = new HashMap<>();

	}

	private record Candidate(String endpoint, double cost) {
	}

}
