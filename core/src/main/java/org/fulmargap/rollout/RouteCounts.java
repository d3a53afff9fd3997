package org.fulmargap.rollout;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;

/**
 * The answers of both software versions on one route or to one stage.
 *
 * @param old the answers of the other versions than the one of the order
 * @param updatedByEndpoint the answers of the version of the order, by the name of the
 * endpoint
 */
public record RouteCounts(AnswerCounts old, Map<String, AnswerCounts> updatedByEndpoint) {

	/** No answers. */
	public static final RouteCounts NONE = new RouteCounts(AnswerCounts.NONE, Map.of());

	/**
	 * With at least this many endpoints, those of the worst one may be its own fault and
	 * not that of its version.
	 */
	private static final int MIN_ENDPOINTS_TO_COMPARE = 3;

	/**
	 * Creates counts with a copy of the map.
	 */
	public RouteCounts {
		updatedByEndpoint = Map.copyOf(updatedByEndpoint);
	}

	/**
	 * Returns the answers of the version of the order.
	 * @return the sums of all its endpoints
	 */
	public AnswerCounts updated() {
		return sum(this.updatedByEndpoint);
	}

	/**
	 * Returns the answers of the version of the order without those of the endpoint with
	 * the most bad ones, whose machine may be slow or faulty.
	 * @return the sums; of all endpoints if these are fewer than three
	 */
	public AnswerCounts updatedWithoutWorst() {
		if (this.updatedByEndpoint.size() < MIN_ENDPOINTS_TO_COMPARE) {
			return updated();
		}
		Map<String, AnswerCounts> others = new HashMap<>(this.updatedByEndpoint);
		this.updatedByEndpoint.entrySet()
			.stream()
			.max(Comparator.comparingLong((entry) -> entry.getValue().bad()))
			.ifPresent((worst) -> others.remove(worst.getKey()));
		return sum(others);
	}

	private static AnswerCounts sum(Map<String, AnswerCounts> counts) {
		return counts.values().stream().reduce(AnswerCounts.NONE, AnswerCounts::plus);
	}

	/**
	 * Adds up counts.
	 * @param other the other counts
	 * @return the sums
	 */
	public RouteCounts plus(RouteCounts other) {
		Map<String, AnswerCounts> sums = new HashMap<>(this.updatedByEndpoint);
		other.updatedByEndpoint.forEach((endpoint, counts) -> sums.merge(endpoint, counts, AnswerCounts::plus));
		return new RouteCounts(this.old.plus(other.old), sums);
	}

	/**
	 * Subtracts earlier counts.
	 * @param earlier the earlier counts
	 * @return the differences
	 */
	RouteCounts minus(RouteCounts earlier) {
		Map<String, AnswerCounts> differences = new HashMap<>();
		this.updatedByEndpoint.forEach((endpoint, counts) -> differences.put(endpoint,
				counts.minus(earlier.updatedByEndpoint.getOrDefault(endpoint, AnswerCounts.NONE))));
		differences.values().removeIf((counts) -> counts.answered() == 0);
		return new RouteCounts(this.old.minus(earlier.old), differences);
	}

}
