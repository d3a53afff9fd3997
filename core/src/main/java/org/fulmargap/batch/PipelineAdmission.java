package org.fulmargap.batch;

/**
 * Decides whether a request whose pipeline is loaded is taken, and when a refused caller
 * should come back. It answers the days on which more is asked for than the stage
 * services can do: what is taken beyond that makes the others late.
 */
public final class PipelineAdmission {

	/** The usual time from the end of the stages to the first event, in milliseconds. */
	private static final long FIRST_EVENT_MS = 150;

	/** A load that delays a request by less than this counts as none, in milliseconds. */
	private static final long UNLOADED_SLACK_MS = 100;

	/** The shortest time after which a caller is asked back, in milliseconds. */
	private static final long MIN_RETRY_AFTER_MS = 300;

	private PipelineAdmission() {
	}

	/**
	 * Decides.
	 * @param expected when the request is expected to be answered
	 * @param objectiveMs the time within which the answer is on time, in milliseconds
	 * @param maxWaitMs how long the caller waits from now, in milliseconds
	 * @return the decision
	 */
	public static Decision decide(ExpectedTimes expected, long objectiveMs, long maxWaitMs) {
		// Stages that take the whole objective without any load are no reason to refuse.
		double limitMs = Math.max(objectiveMs - FIRST_EVENT_MS, expected.unloadedMs() + UNLOADED_SLACK_MS);
		boolean inTime = expected.stagesMs() <= limitMs;
		if (inTime && expected.stagesMs() + expected.promptMs() <= maxWaitMs) {
			return new Decision(true, 0);
		}
		return new Decision(false, (long) Math.max(MIN_RETRY_AFTER_MS, expected.stagesMs() - objectiveMs));
	}

	/**
	 * When a request is expected to be answered.
	 *
	 * @param stagesMs when its stages are done, in milliseconds from now
	 * @param unloadedMs when they would be done without other requests, in milliseconds
	 * from now
	 * @param promptMs the time that an engine then needs to read the prompt, in
	 * milliseconds
	 */
	public record ExpectedTimes(double stagesMs, double unloadedMs, double promptMs) {
	}

	/**
	 * A decision.
	 *
	 * @param admitted whether the request is taken
	 * @param retryAfterMs when there is expected to be room again, in milliseconds
	 */
	public record Decision(boolean admitted, long retryAfterMs) {
	}

}
