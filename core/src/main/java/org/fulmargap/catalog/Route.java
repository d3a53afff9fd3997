package org.fulmargap.catalog;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * A kind of request that operators have declared.
 *
 * @param name the name of the route
 * @param host the host that selects it
 * @param pathPrefix the beginning of the paths that select it
 * @param kind what may be repeated
 * @param timeoutMs the longest time that a request may be kept waiting, in milliseconds
 * @param objectiveMs the time within which an answer is on time, in milliseconds
 * @param pauseMs the longest pause between events of a stream that is on time, in
 * milliseconds; 0 if not stated
 * @param priority the rank of the route; 0 is the most urgent
 * @param services the services that run its requests
 * @param maxAttempts the highest number of endpoints on which one request may run
 * @param stages the stages before the request itself
 * @param anonymous whether requests need no API key
 * @param resumable whether a broken stream may go on at another endpoint
 */
public record Route(String name, String host, String pathPrefix, RouteKind kind, long timeoutMs, long objectiveMs,
		long pauseMs, int priority, List<WeightedService> services, int maxAttempts, List<StageSpec> stages,
		boolean anonymous, boolean resumable) {

	/** Callers wait at least this long for an event of a stream, in milliseconds. */
	private static final long MIN_MAX_WAIT_MS = 2_000;

	/** Callers wait for an event of a stream for the objective times this. */
	private static final long MAX_WAIT_OBJECTIVES = 4;

	/** Callers wait for an event of a stream for the longest good pause times this. */
	private static final long MAX_WAIT_PAUSES = 8;

	/**
	 * Creates a route.
	 */
	public Route {
		services = List.copyOf(services);
		stages = List.copyOf(stages);
		if (services.isEmpty()) {
			throw new IllegalArgumentException("route " + name + " has no service");
		}
	}

	/**
	 * Tells whether a request may be sent to another endpoint after it may have run.
	 * @return {@code true} if it may
	 */
	public boolean isRetryable() {
		return this.kind.isRetryable(this.resumable);
	}

	/**
	 * Returns how long a caller waits for the first event, or for the answer.
	 * @return the time in milliseconds
	 */
	public long maxWaitMs() {
		if (!this.kind.isStreaming()) {
			return this.timeoutMs;
		}
		long longestMs = Math.max(this.objectiveMs * MAX_WAIT_OBJECTIVES, this.pauseMs * MAX_WAIT_PAUSES);
		return Math.min(this.timeoutMs, Math.max(MIN_MAX_WAIT_MS, longestMs));
	}

	/**
	 * Chooses the service of one request.
	 * @param draw a number that is evenly distributed over requests
	 * @return the name of the service
	 */
	public String service(int draw) {
		int total = this.services.stream().mapToInt(WeightedService::weight).sum();
		int rest = (total > 0) ? Math.floorMod(draw, total) : 0;
		for (WeightedService candidate : this.services) {
			rest -= candidate.weight();
			if (rest < 0) {
				return candidate.service();
			}
		}
		return this.services.get(0).service();
	}

	/**
	 * Returns the stages that no other stage needs: their results go to the request.
	 * @return the indexes of these stages
	 */
	public Set<Integer> finalStages() {
		Set<Integer> indexes = new TreeSet<>();
		for (int i = 0; i < this.stages.size(); i++) {
			indexes.add(i);
		}
		this.stages.forEach((stage) -> indexes.removeAll(stage.dependencies()));
		return indexes;
	}

}
