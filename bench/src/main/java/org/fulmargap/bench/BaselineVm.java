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
 * Round robin over all endpoints that are in service, no admission control, no claims, no
 * slow start, and three retries after any failure.
 */
final class BaselineVm extends EntryVm {

	private static final int MAX_RETRIES = 3;

	private final Map<String, Integer> next = new HashMap<>();

	private Set<String> unavailable = Set.of();

	BaselineVm(World world) {
		super(world);
	}

	@Override
	void begin(Flow flow) {
		startStage(flow);
	}

	@Override
	Optional<Reservation> choose(Flow flow) {
		List<String> endpoints = new ArrayList<>();
		this.world.configuration().endpoints().forEach((name, spec) -> {
			if (spec.service().equals(flow.service()) && !this.unavailable.contains(name)) {
				endpoints.add(name);
			}
		});
		int index = this.next.merge(flow.service(), 1, Integer::sum);
		String name = endpoints.get(index % endpoints.size());
		return Optional.of(new Choice(name, this.world.configuration().endpoints().get(name)));
	}

	@Override
	long limitMs(Flow flow) {
		return flow.deadline.remainingMs(this.clock.nowMs());
	}

	@Override
	boolean retries(Flow flow, String endpoint, CallFailure failure) {
		return flow.attempts <= MAX_RETRIES && limitMs(flow) > 0;
	}

	@Override
	void update(Set<String> unavailable) {
		this.unavailable = unavailable;
	}

	private record Choice(String endpoint, EndpointSpec spec) implements Reservation {

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
