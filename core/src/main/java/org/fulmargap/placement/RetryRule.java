package org.fulmargap.placement;

/**
 * Decides whether a request may be sent to another endpoint after a failed call.
 */
public final class RetryRule {

	/** The highest number of calls for one request, including refused ones. */
	public static final int MAX_CALLS = 4;

	private RetryRule() {
	}

	/**
	 * Returns whether another call may be made.
	 * @param retryable whether the request may run more than once
	 * @param mayHaveRun whether the failed call may have run
	 * @param runs the number of calls that may have run so far, including the failed one
	 * @param maxRuns the highest number of endpoints on which the request may run
	 * @param calls the number of all calls so far
	 * @return {@code true} if another call may be made
	 */
	public static boolean mayRetry(boolean retryable, boolean mayHaveRun, int runs, int maxRuns, int calls) {
		if (calls >= MAX_CALLS) {
			return false;
		}
		if (!mayHaveRun) {
			return true;
		}
		return retryable && runs < maxRuns;
	}

}
