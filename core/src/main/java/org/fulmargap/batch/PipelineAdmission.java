package org.fulmargap.batch;

/**
 * Decides whether a pipeline request is admitted, and when the caller of a refused one
 * should retry. When the demand exceeds the capacity of the stage services, each request
 * admitted beyond the capacity would make others late.
 */
public final class PipelineAdmission {

	/** The usual time from the end of the stages to the first event, in milliseconds. */
	private static final long FIRST_EVENT_MS = 150;

	/** A delay by other requests up to this one counts as no load, in milliseconds. */
	private static final long UNLOADED_SLACK_MS = 100;

	/** The shortest time after which a refused caller should retry, in milliseconds. */
	private static final long MIN_RETRY_AFTER_MS = 300;

	private PipelineAdmission() {
	}

	/**
	 * Decides whether a request is admitted.
	 * @param expected when the request is expected to be answered
	 * @param objectiveMs the latency objective for the answer, in milliseconds
	 * @param maxWaitMs how long the caller waits from now, in milliseconds
	 * @return the decision
	 */
	public static Decision decide(ExpectedTimes expected, long objectiveMs, long maxWaitMs) {
		// Stages that exceed the objective without load are refused only under load.
		double limitMs = Math.max(objectiveMs - FIRST_EVENT_MS, expected.unloadedMs() + UNLOADED_SLACK_MS);
		boolean inTime = expected.stagesMs() <= limitMs;
		if (inTime && expected.stagesMs() + expected.promptMs() <= maxWaitMs) {
			return new Decision(true, 0);
		}
		return new Decision(false, (long) Math.max(MIN_RETRY_AFTER_MS, expected.stagesMs() - objectiveMs));
	}

	/**
	 * The expected times of a request.
	 *
	 * @param stagesMs the time until its stages are done, in milliseconds from now
	 * @param unloadedMs the same time if there were no other requests, in milliseconds
	 * @param promptMs the time of the prefill that follows, in milliseconds
	 */
	public record ExpectedTimes(double stagesMs, double unloadedMs, double promptMs) {
	}

	/**
	 * A decision on admission.
	 *
	 * @param admitted whether the request is admitted
	 * @param retryAfterMs when the caller should retry, in milliseconds from now; 0 if
	 * the request is admitted
	 */
	public record Decision(boolean admitted, long retryAfterMs) {
	}

}
