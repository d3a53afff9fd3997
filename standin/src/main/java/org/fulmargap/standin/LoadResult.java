package org.fulmargap.standin;

import java.util.Locale;
import java.util.Map;
import java.util.StringJoiner;
import java.util.TreeMap;

/**
 * Result of a load run.
 *
 * @param sent the number of requests sent, without resends
 * @param notSent the number of requests that were not sent because too many were in
 * flight
 * @param actions the number of non-idempotent requests among those sent
 * @param answered the number of requests with a complete answer that belongs to them
 * @param late the number of those answers that arrived after the deadline
 * @param crossed the number of complete answers that belong to another request
 * @param notRun the number of requests refused as not run
 * @param unknown the number of requests whose outcome is unknown
 * @param failed the number of requests with another error answer
 * @param lost the number of requests without an answer, after the resend if there was one
 * @param resent the number of non-idempotent requests that were sent again
 * @param executedKeys the number of idempotency keys of this run that endpoints executed
 * @param doubled the number of keys that were executed more than once
 * @param falseNotRun the number of keys that were answered as not run and were executed
 * @param answeredNotExecuted the number of keys with an answer but without an execution
 * @param p50Ms the median time from the planned start to the answer, in milliseconds
 * @param p99Ms the 99th percentile of that time, in milliseconds
 * @param errorTypes the number of error answers by type
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
	 * Returns the share of requests answered within the deadline. Requests that were not
	 * sent count as not answered.
	 * @return a value from 0 to 1
	 */
	public double attainment() {
		int planned = this.sent + this.notSent;
		return (planned > 0) ? (double) (this.answered - this.late) / planned : 0;
	}

	/**
	 * Tells whether a promise was broken: an answer to the wrong request, a key executed
	 * twice, a wrong statement that a request did not run, or an answer without
	 * execution.
	 * @return {@code true} if no promise was broken
	 */
	public boolean isSound() {
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
