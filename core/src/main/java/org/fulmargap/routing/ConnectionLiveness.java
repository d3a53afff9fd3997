package org.fulmargap.routing;

import java.util.Optional;

/**
 * Decides what a stage call without progress means. An open connection can go silent for
 * ever while new connections to the same endpoint work, so the answer to a probe over a
 * new connection is compared with the silence on the old one.
 */
public final class ConnectionLiveness {

	/** The time in milliseconds within which an endpoint must answer a probe. */
	public static final long PROBE_TIMEOUT_MS = 150;

	private ConnectionLiveness() {
	}

	/**
	 * Decides about one call.
	 * @param silentMs the time since the last progress of the call in milliseconds
	 * @param limitMs the progress limit of the call in milliseconds
	 * @param probe what the probe showed
	 * @param report a load report that the endpoint sent after the probe began, or empty
	 * if the endpoint reports no load
	 * @param attempt the attempt id of the call
	 * @param sentAtMs when the call was sent, milliseconds since the epoch
	 * @return the verdict
	 */
	public static Verdict decide(long silentMs, long limitMs, Probe probe, Optional<LoadReport> report, String attempt,
			long sentAtMs) {
		if (silentMs < limitMs || probe == Probe.PENDING) {
			return Verdict.WAIT;
		}
		if (probe == Probe.NO_ANSWER) {
			return Verdict.SUSPECT;
		}
		if (report.isEmpty()) {
			// Without a list of attempts a slow endpoint looks like a dead connection.
			// Half the limit more leaves time for a retry, as the limit is at most half
			// of the remaining time.
			return (2 * silentMs >= 3 * limitMs) ? Verdict.DEAD : Verdict.WAIT;
		}
		if (report.get().attempts().contains(attempt)) {
			return Verdict.WAIT;
		}
		// A reading from before the call was sent cannot list it.
		return (report.get().reportedAtMs() <= sentAtMs) ? Verdict.WAIT : Verdict.DEAD;
	}

	/**
	 * Result of a probe over a new connection.
	 */
	public enum Probe {

		/** The time for the answer has not passed. */
		PENDING,

		/** The endpoint answered in time. */
		ANSWERED,

		/** The endpoint did not answer in time. */
		NO_ANSWER;

		/**
		 * Classifies a probe by its time.
		 * @param answered whether an answer arrived
		 * @param elapsedMs the time from the start of the probe to the answer or to now
		 * @return the result
		 */
		public static Probe of(boolean answered, long elapsedMs) {
			if (elapsedMs > PROBE_TIMEOUT_MS) {
				return NO_ANSWER;
			}
			return (answered) ? ANSWERED : PENDING;
		}

	}

	/**
	 * Verdict about a call without progress.
	 */
	public enum Verdict {

		/** The endpoint works on the call, or nothing is known yet. */
		WAIT(false),

		/** The connection is dead, and the endpoint does not work on the call. */
		DEAD(true),

		/** The endpoint does not answer. */
		SUSPECT(true);

		private final boolean endsCall;

		Verdict(boolean endsCall) {
			this.endsCall = endsCall;
		}

		/**
		 * Tells whether an idempotent stage should be tried elsewhere.
		 * @return {@code true} unless the client should keep waiting
		 */
		public boolean endsCall() {
			return this.endsCall;
		}

	}

}
