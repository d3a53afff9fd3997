package org.fulmargap.placement;

/**
 * Decides whether a request whose call failed may be sent to another endpoint.
 */
public final class RetryRule {

	/** The calls that one request may make without having run, refused ones included. */
	public static final int MAX_CALLS = 4;

	private RetryRule() {
	}

	/**
	 * Decides.
	 * @param retryable whether the request may run more than once
	 * @param mayHaveRun whether the failed call may have run
	 * @param runs the calls that may have run so far, the failed one included
	 * @param maxRuns the endpoints on which the request may run
	 * @param calls all calls so far
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
