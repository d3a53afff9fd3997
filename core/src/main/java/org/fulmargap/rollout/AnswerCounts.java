package org.fulmargap.rollout;

/**
 * The answers of one software version.
 *
 * @param answered the number of calls that have ended, bad ones included
 * @param failed the number of those that failed by a fault of the endpoint
 * @param slow the number of those that succeeded, but took much longer than usual
 */
public record AnswerCounts(long answered, long failed, long slow) {

	/** No answers. */
	public static final AnswerCounts NONE = new AnswerCounts(0, 0, 0);

	/**
	 * Adds up counts.
	 * @param other the other counts
	 * @return the sums
	 */
	public AnswerCounts plus(AnswerCounts other) {
		return new AnswerCounts(this.answered + other.answered, this.failed + other.failed, this.slow + other.slow);
	}

	/**
	 * Subtracts earlier counts.
	 * @param earlier the earlier counts
	 * @return the differences; 0 for counts that fell because a VM left
	 */
	AnswerCounts minus(AnswerCounts earlier) {
		return new AnswerCounts(Math.max(0, this.answered - earlier.answered),
				Math.max(0, this.failed - earlier.failed), Math.max(0, this.slow - earlier.slow));
	}

	/**
	 * Returns the number of bad answers.
	 * @return the number of failed and slow ones
	 */
	public long bad() {
		return this.failed + this.slow;
	}

}
