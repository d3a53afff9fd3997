package org.fulmargap.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.fulmargap.config.Configuration;
import org.fulmargap.config.EndpointSpec;

/**
 * Routes each attempt to the endpoint with the fewest own requests, own failure domain
 * first.
 */
public final class AdaptiveRouter implements Router {

	private final RouterSettings settings;

	private final Map<String, Integer> inFlight = new HashMap<>();

	private final Map<String, Long> durations = new HashMap<>();

	private Configuration configuration = Configuration.EMPTY;

	private Set<String> unavailable = Set.of();

	private int members = 1;

	/**
	 * Creates a router without endpoints.
	 * @param settings the settings of this entry VM
	 */
	public AdaptiveRouter(RouterSettings settings) {
		this.settings = settings;
	}

	@Override
	public synchronized void update(Configuration configuration, Set<String> unavailable, Collection<String> members,
			long nowMs) {
		this.configuration = configuration;
		this.unavailable = Set.copyOf(unavailable);
		this.members = Math.max(1, members.size());
	}

	@Override
	public synchronized Optional<Reservation> select(RouteRequest request, long nowMs) {
		List<Map.Entry<String, EndpointSpec>> candidates = new ArrayList<>();
		for (Map.Entry<String, EndpointSpec> entry : this.configuration.endpoints().entrySet()) {
			EndpointSpec spec = entry.getValue();
			if (spec.service().equals(request.service()) && !this.unavailable.contains(entry.getKey())
					&& !request.excluded().contains(entry.getKey()) && (!request.ownDomainOnly() || isOwnDomain(spec))
					&& load(entry.getKey()) < share(spec)) {
				candidates.add(entry);
			}
		}
		return candidates.stream()
			.min(Comparator.comparing((Map.Entry<String, EndpointSpec> entry) -> !isOwnDomain(entry.getValue()))
				.thenComparing((entry) -> load(entry.getKey())))
			.map((entry) -> {
				this.inFlight.merge(entry.getKey(), 1, Integer::sum);
				return new CountedReservation(entry.getKey(), entry.getValue());
			});
	}

	@Override
	public void observeLoad(String endpoint, LoadReport report, long nowMs) {
	}

	@Override
	public Map<String, Long> warmUpStarts() {
		return Map.of();
	}

	@Override
	public void mergeWarmUpStarts(Map<String, Long> starts, long nowMs) {
	}

	@Override
	public synchronized long expectedStageMs(String service) {
		return this.durations.getOrDefault(service, 0L);
	}

	@Override
	public long progressLimitMs(String service, long remainingMs) {
		return Math.min(remainingMs / 2, Math.max(200, 4 * expectedStageMs(service)));
	}

	@Override
	public synchronized int concurrencyShare(String service, long nowMs) {
		return this.configuration.endpoints()
			.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().service().equals(service) && !this.unavailable.contains(entry.getKey()))
			.mapToInt((entry) -> share(entry.getValue()))
			.sum();
	}

	private boolean isOwnDomain(EndpointSpec spec) {
		return spec.failureDomain().equals(this.settings.failureDomain());
	}

	private int load(String endpoint) {
		return this.inFlight.getOrDefault(endpoint, 0);
	}

	private int share(EndpointSpec spec) {
		return Math.max(1, spec.maxConcurrency() / this.members);
	}

	private synchronized void free(String endpoint) {
		this.inFlight.merge(endpoint, -1, Integer::sum);
	}

	private synchronized void record(String service, long durationMs) {
		this.durations.merge(service, durationMs, (old, value) -> (7 * old + value) / 8);
	}

	private final class CountedReservation implements Reservation {

		private final String endpoint;

		private final EndpointSpec spec;

		private boolean closed;

		private CountedReservation(String endpoint, EndpointSpec spec) {
			this.endpoint = endpoint;
			this.spec = spec;
		}

		@Override
		public String endpoint() {
			return this.endpoint;
		}

		@Override
		public EndpointSpec spec() {
			return this.spec;
		}

		@Override
		public void succeeded(long durationMs, int cachedTokens, String incarnation, long nowMs) {
			record(this.spec.service(), durationMs);
		}

		@Override
		public void failed(CallFailure failure, long nowMs) {
		}

		@Override
		public synchronized void close() {
			if (!this.closed) {
				this.closed = true;
				free(this.endpoint);
			}
		}

	}

}
