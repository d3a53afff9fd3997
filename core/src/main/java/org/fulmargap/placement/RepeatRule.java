package org.fulmargap.placement;

/**
 * Decides whether a request whose call failed may be sent to another endpoint.
 */
public final class RepeatRule {

	/** The calls that one request may make without having run, refused ones included. */
	public static final int MAX_CALLS = 4;

	private RepeatRule() {
	}

	/**
	 * Decides.
	 * @param repeatable whether the request may run more than once
	 * @param maybeRan whether the failed call may have run
	 * @param runs the calls that may have run so far, the failed one included
	 * @param maxRuns the endpoints on which the request may run
	 * @param calls all calls so far
	 * @return {@code true} if another call may be made
	 */
	public static boolean mayRepeat(boolean repeatable, boolean maybeRan, int runs, int maxRuns, int calls) {
		if (calls >= MAX_CALLS) {
			return false;
		}
		if (!maybeRan) {
			return true;
		}
		return repeatable && runs < maxRuns;
	}

}
