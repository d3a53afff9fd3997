package org.fulmargap.routing;

import java.util.Optional;

/**
 * Decides whether a stage call without progress is slow or its connection is dead. An
 * open connection can stop delivering data for good while new connections to the same
 * endpoint work, so the endpoint is probed over a new connection.
 */
public final class ConnectionLiveness {

	/** The time in milliseconds within which an endpoint must answer a probe. */
	public static final long PROBE_TIMEOUT_MS = 150;

	private ConnectionLiveness() {
	}

	/**
	 * Decides whether the client keeps waiting for one call.
	 * @param silentMs the time since the last progress of the call in milliseconds
	 * @param limitMs the progress limit of the call in milliseconds
	 * @param probe the result of the probe
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
			// Without a list of attempts a slow endpoint cannot be told from a dead
			// connection. Waiting for another half of the limit still leaves time for a
			// retry, because the limit is at most half of the remaining time.
			return (2 * silentMs >= 3 * limitMs) ? Verdict.DEAD : Verdict.WAIT;
		}
		if (report.get().attempts().contains(attempt)) {
			return Verdict.WAIT;
		}
		// A report that is not newer than the call cannot list it.
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
		 * Classifies a probe by whether its answer arrived in time.
		 * @param answered whether an answer arrived
		 * @param elapsedMs the time from the start of the probe to its answer, or to the
		 * current time if there is none, in milliseconds
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

		/** The endpoint is processing the call, or the result is not known yet. */
		WAIT(false),

		/**
		 * The connection is presumed dead: the endpoint answers probes but does not
		 * process the call, or reports no load and the call stays silent.
		 */
		DEAD(true),

		/** The endpoint does not answer. */
		SUSPECT(true);

		private final boolean endsCall;

		Verdict(boolean endsCall) {
			this.endsCall = endsCall;
		}

		/**
		 * Returns whether the call should end, so that an idempotent stage can be retried
		 * on another endpoint.
		 * @return {@code true} unless the client should keep waiting
		 */
		public boolean endsCall() {
			return this.endsCall;
		}

	}

}
