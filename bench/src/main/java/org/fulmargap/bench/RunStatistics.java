package org.fulmargap.bench;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

import org.fulmargap.bench.Workload.Request;

/**
 * Statistics of one simulation run.
 */
final class RunStatistics {

	private static final int CHART_BUCKETS = 60;

	private final Map<Outcome, Integer> outcomes = new HashMap<>();

	private final Map<Integer, Outcome> outcomeByRequest = new HashMap<>();

	private final Map<Integer, Integer> actionExecutions = new HashMap<>();

	private final Map<String, Long> busyMs = new HashMap<>();

	private final int[] arrivalsByBucket = new int[CHART_BUCKETS];

	private final int[] answeredByBucket = new int[CHART_BUCKETS];

	private final long durationMs;

	private long tokenCount;

	private int crashCount;

	private int requestCount;

	private int answeredPushes;

	RunStatistics(long durationMs) {
		this.durationMs = durationMs;
	}

	void recordArrival(Request request) {
		this.requestCount++;
		this.arrivalsByBucket[bucket(request)]++;
	}

	// Records the outcome of a request, which must have none yet.
	void recordOutcome(Request request, Outcome outcome) {
		if (this.outcomeByRequest.putIfAbsent(request.id(), outcome) != null) {
			throw new IllegalStateException("request " + request.id() + " has two outcomes");
		}
		this.outcomes.merge(outcome, 1, Integer::sum);
		if (outcome == Outcome.ANSWERED) {
			this.answeredByBucket[bucket(request)]++;
			this.answeredPushes += (request.idempotent()) ? 0 : 1;
		}
	}

	private int bucket(Request request) {
		return (int) Math.min(CHART_BUCKETS - 1, request.atMs() * CHART_BUCKETS / this.durationMs);
	}

	void recordExecution(Request request, String service) {
		if (service.equals("action")) {
			this.actionExecutions.merge(request.id(), 1, Integer::sum);
		}
	}

	void addBusyTime(String service, long durationMs) {
		this.busyMs.merge(service, durationMs, Long::sum);
	}

	void addTokens(int count) {
		this.tokenCount += count;
	}

	void recordCrash() {
		this.crashCount++;
	}

	int count(Outcome outcome) {
		return this.outcomes.getOrDefault(outcome, 0);
	}

	double attainment() {
		return (double) count(Outcome.ANSWERED) / this.requestCount;
	}

	int countLostRequests() {
		return this.requestCount - this.outcomeByRequest.size();
	}

	long countRepeatedActions() {
		return this.actionExecutions.values().stream().filter((count) -> count > 1).count();
	}

	// Returns the busy time of a service in milliseconds, divided by the number of
	// requests that use the service and were answered in time.
	double cost(String service) {
		int answered = count(Outcome.ANSWERED) - ((service.equals("encode")) ? 0 : this.answeredPushes);
		return this.busyMs.getOrDefault(service, 0L) / (double) Math.max(1, answered);
	}

	String toOutputLine() {
		return String.format(Locale.ROOT,
				"attainment=%.4f not_run=%d unknown=%d late=%d failed=%d lost=%d doubled=%d cost_encode=%.1f "
						+ "cost_retrieve=%.1f cost_rerank=%.1f cost_generate=%.1f tokens=%.0f crashes=%d requests=%d",
				attainment(), count(Outcome.NOT_RUN), count(Outcome.UNKNOWN), count(Outcome.LATE),
				count(Outcome.FAILED), countLostRequests(), countRepeatedActions(), cost("encode"), cost("retrieve"),
				cost("rerank"), cost("generate"),
				this.tokenCount / (double) Math.max(1, count(Outcome.ANSWERED) - this.answeredPushes), this.crashCount,
				this.requestCount);
	}

	// Returns the attainment by time of arrival as a row of characters, each for an equal
	// part of the run. A digit n stands for at least n * 10 percent, # for at least 99
	// percent.
	String chart() {
		StringBuilder row = new StringBuilder();
		for (int i = 0; i < CHART_BUCKETS; i++) {
			double fraction = (this.arrivalsByBucket[i] > 0)
					? (double) this.answeredByBucket[i] / this.arrivalsByBucket[i] : 1;
			row.append((fraction >= 0.99) ? "#" : String.valueOf((int) (fraction * 10)));
		}
		return row.toString();
	}

	/**
	 * How a request ended.
	 */
	enum Outcome {

		/** Answered within the deadline. */
		ANSWERED,

		/** Ended before it ran; for a non-idempotent request, only the action counts. */
		NOT_RUN,

		/** Non-idempotent; the action may have run, and its last attempt failed. */
		UNKNOWN,

		/** Not answered before the deadline. */
		LATE,

		/** All attempts failed, or the request is quarantined. */
		FAILED

	}

}
