package org.fulmargap.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.fulmargap.config.EndpointSpec;
import org.fulmargap.routing.CallFailure;
import org.fulmargap.routing.Reservation;

/**
 * Entry VM of the baseline: round robin over all endpoints that are in service, without
 * admission control, claims and slow start, with up to three retries of a stage after any
 * failure.
 */
final class BaselineVm extends EntryVm {

	private static final int MAX_RETRIES = 3;

	private final Map<String, Integer> nextIndexes = new HashMap<>();

	private Set<String> unavailable = Set.of();

	BaselineVm(Simulation simulation) {
		super(simulation);
	}

	@Override
	void begin(RequestState state) {
		startStage(state);
	}

	@Override
	Optional<Reservation> selectEndpoint(RequestState state) {
		List<String> endpoints = new ArrayList<>();
		this.simulation.configuration().endpoints().forEach((name, spec) -> {
			if (spec.service().equals(state.service()) && !this.unavailable.contains(name)) {
				endpoints.add(name);
			}
		});
		int index = this.nextIndexes.merge(state.service(), 1, Integer::sum);
		String name = endpoints.get(index % endpoints.size());
		return Optional.of(new BaselineReservation(name, this.simulation.configuration().endpoints().get(name)));
	}

	@Override
	long limitMs(RequestState state) {
		return state.deadline.remainingMs(this.clock.nowMs());
	}

	@Override
	boolean shouldRetry(RequestState state, String endpoint, CallFailure failure) {
		return state.attempts <= MAX_RETRIES && limitMs(state) > 0;
	}

	@Override
	void setUnavailableEndpoints(Set<String> unavailable) {
		this.unavailable = unavailable;
	}

	private record BaselineReservation(String endpoint, EndpointSpec spec) implements Reservation {

		@Override
		public void succeeded(long durationMs, int cachedTokens, String incarnation, long nowMs) {
		}

		@Override
		public void failed(CallFailure failure, long nowMs) {
		}

		@Override
		public void close() {
		}

	}

}
