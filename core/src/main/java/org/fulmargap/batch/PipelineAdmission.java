package org.fulmargap.batch;

/**
 * Decides whether a request whose pipeline is loaded is taken, and when a refused caller
 * should come back. It answers the days on which more is asked for than the stage
 * services can do: what is taken beyond that makes the others late.
 */
public final class PipelineAdmission {

	/** The time that the request itself needs after its stages, in milliseconds. */
	private static final long FIRST_EVENT_MS = 150;

	/** The shortest time after which a caller is asked back, in milliseconds. */
	private static final long LEAST_RETURN_MS = 300;

	private PipelineAdmission() {
	}

	/**
	 * Decides.
	 * @param stagesMs when the stages are expected to be done, in milliseconds from now
	 * @param objectiveMs the time within which the answer is on time, in milliseconds
	 * @param patienceMs how long the caller waits from now, in milliseconds
	 * @return the decision
	 */
	public static Decision decide(double stagesMs, long objectiveMs, long patienceMs) {
		double limitMs = Math.min(objectiveMs, patienceMs - FIRST_EVENT_MS);
		if (stagesMs <= limitMs) {
			return new Decision(true, 0);
		}
		return new Decision(false, (long) Math.max(LEAST_RETURN_MS, stagesMs - objectiveMs));
	}

	/**
	 * A decision.
	 *
	 * @param admitted whether the request is taken
	 * @param returnAfterMs when there is expected to be room again, in milliseconds
	 */
	public record Decision(boolean admitted, long returnAfterMs) {
	}

}
