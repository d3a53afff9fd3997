package org.fulmargap.catalog;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * A kind of request that is declared in the operators' configuration.
 *
 * @param name the name of the route
 * @param host the host that selects it
 * @param pathPrefix the beginning of the paths that select it
 * @param kind whether requests may be retried and whether answers are streams
 * @param timeoutMs the longest time that a request may take, in milliseconds
 * @param objectiveMs the latency objective in milliseconds: for the first event of a
 * stream, or for the whole answer otherwise
 * @param interTokenTargetMs the latency objective between the events of a stream, in
 * milliseconds; 0 if not stated
 * @param priority the priority of the route; 0 is the most urgent
 * @param services the services that run its requests
 * @param maxAttempts the highest number of endpoints on which one request may run
 * @param stages the stages that run before the request itself; may be empty
 * @param anonymous whether requests need no API key
 * @param resumable whether a broken stream may be resumed at another endpoint
 */
public record Route(String name, String host, String pathPrefix, RouteKind kind, long timeoutMs, long objectiveMs,
		long interTokenTargetMs, int priority, List<WeightedService> services, int maxAttempts, List<StageSpec> stages,
		boolean anonymous, boolean resumable) {

	/** The lower bound of the max wait of a stream, in milliseconds. */
	private static final long MIN_MAX_WAIT_MS = 2_000;

	/** The ratio of the max wait of a stream to its latency objective. */
	private static final long MAX_WAIT_PER_OBJECTIVE = 4;

	/** The ratio of the max wait of a stream to its inter-token target. */
	private static final long MAX_WAIT_PER_INTER_TOKEN_TARGET = 8;

	/**
	 * Creates a route.
	 * @throws IllegalArgumentException if there is no service
	 */
	public Route {
		services = List.copyOf(services);
		stages = List.copyOf(stages);
		if (services.isEmpty()) {
			throw new IllegalArgumentException("route " + name + " has no service");
		}
	}

	/**
	 * Returns whether a request may be sent to another endpoint after it may have run.
	 * @return {@code true} if it may be retried
	 */
	public boolean isRetryable() {
		return this.kind.isRetryable(this.resumable);
	}

	/**
	 * Returns how long a caller is assumed to wait for the first event of a stream, or
	 * for the answer otherwise.
	 * @return the time in milliseconds
	 */
	public long maxWaitMs() {
		if (!this.kind.isStreaming()) {
			return this.timeoutMs;
		}
		long longestMs = Math.max(this.objectiveMs * MAX_WAIT_PER_OBJECTIVE,
				this.interTokenTargetMs * MAX_WAIT_PER_INTER_TOKEN_TARGET);
		return Math.min(this.timeoutMs, Math.max(MIN_MAX_WAIT_MS, longestMs));
	}

	/**
	 * Chooses the service of one request according to the weights.
	 * @param draw a number that is evenly distributed over requests
	 * @return the name of the service
	 */
	public String service(int draw) {
		int total = this.services.stream().mapToInt(WeightedService::weight).sum();
		int remaining = (total > 0) ? Math.floorMod(draw, total) : 0;
		for (WeightedService candidate : this.services) {
			remaining -= candidate.weight();
			if (remaining < 0) {
				return candidate.service();
			}
		}
		return this.services.get(0).service();
	}

	/**
	 * Returns the stages on which no other stage depends. Their results are the inputs of
	 * the request itself.
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
