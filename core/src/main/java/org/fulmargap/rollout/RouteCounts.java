package org.fulmargap.rollout;

/**
 * The answers of both software versions on one route or to one stage.
 *
 * @param old the answers of the other versions than the one of the order
 * @param updated the answers of the version of the order
 */
public record RouteCounts(AnswerCounts old, AnswerCounts updated) {

	/** No answers. */
	public static final RouteCounts NONE = new RouteCounts(AnswerCounts.NONE, AnswerCounts.NONE);

	/**
	 * Adds up counts.
	 * @param other the other counts
	 * @return the sums
	 */
	public RouteCounts plus(RouteCounts other) {
		return new RouteCounts(this.old.plus(other.old), this.updated.plus(other.updated));
	}

}
