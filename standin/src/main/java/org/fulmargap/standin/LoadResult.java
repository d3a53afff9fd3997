package org.fulmargap.standin;

import java.util.Locale;
import java.util.Map;
import java.util.StringJoiner;
import java.util.TreeMap;

/**
 * Result of a run of the {@link LoadTool}.
 *
 * @param sent the number of requests sent, not counting resends
 * @param notSent the number of requests that were not sent because of the limit of
 * requests in flight
 * @param actions the number of non-idempotent requests among those sent
 * @param answered the number of requests with a complete response that belongs to them
 * @param late the number of those responses that arrived after the deadline
 * @param crossed the number of responses with status 200 that do not belong to their
 * request
 * @param notRun the number of requests refused with an error type that means not run
 * @param unknown the number of requests whose outcome is unknown
 * @param failed the number of requests with another error response
 * @param lost the number of requests without a response, after the resend if there was
 * one
 * @param resent the number of non-idempotent requests that were sent again
 * @param executedKeys the number of idempotency keys of this run that were executed
 * @param doubled the number of keys that were executed more than once
 * @param falseNotRun the number of keys that were refused as not run but were executed
 * @param answeredNotExecuted the number of keys with a response of status 200 but without
 * an execution; zero if no executions were read
 * @param p50Ms the median latency from the planned start to the response, in milliseconds
 * @param p99Ms the 99th percentile of that latency, in milliseconds
 * @param errorTypes the number of error responses by type
 */
public record LoadResult(int sent, int notSent, int actions, int answered, int late, int crossed, int notRun,
		int unknown, int failed, int lost, int resent, int executedKeys, int doubled, int falseNotRun,
		int answeredNotExecuted, long p50Ms, long p99Ms, Map<String, Integer> errorTypes) {

	/**
	 * Copies the map of error types.
	 */
	public LoadResult {
		errorTypes = Map.copyOf(errorTypes);
	}

	/**
	 * Returns the share of requests that were answered within the deadline. Requests that
	 * were not sent count as not answered.
	 * @return the share, from 0 to 1
	 */
	public double attainment() {
		int planned = this.sent + this.notSent;
		return (planned > 0) ? (double) (this.answered - this.late) / planned : 0;
	}

	/**
	 * Returns whether all guarantees held: no response to the wrong request, no key
	 * executed more than once, no executed key refused as not run, and no response
	 * without an execution.
	 * @return {@code true} if no guarantee was violated
	 */
	public boolean isCorrect() {
		return this.crossed == 0 && this.doubled == 0 && this.falseNotRun == 0 && this.answeredNotExecuted == 0;
	}

	@Override
	public String toString() {
		StringJoiner lines = new StringJoiner("\n");
		lines.add("sent=" + this.sent).add("not_sent=" + this.notSent).add("actions=" + this.actions);
		lines.add("attainment=" + String.format(Locale.ROOT, "%.4f", attainment()));
		lines.add("answered=" + this.answered).add("late=" + this.late).add("crossed=" + this.crossed);
		lines.add("not_run=" + this.notRun).add("unknown=" + this.unknown).add("failed=" + this.failed);
		lines.add("lost=" + this.lost).add("resent=" + this.resent).add("executed_keys=" + this.executedKeys);
		lines.add("doubled=" + this.doubled).add("false_not_run=" + this.falseNotRun);
		lines.add("answered_not_executed=" + this.answeredNotExecuted);
		lines.add("p50_ms=" + this.p50Ms).add("p99_ms=" + this.p99Ms);
		new TreeMap<>(this.errorTypes).forEach((type, count) -> lines.add("error_" + type + "=" + count));
		return lines.toString();
	}

}
