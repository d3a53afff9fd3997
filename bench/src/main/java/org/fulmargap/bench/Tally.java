package org.fulmargap.bench;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

import org.fulmargap.bench.Workload.Request;

/**
 * Counts of one run.
 */
final class Tally {

	private static final int CHART_BUCKETS = 60;

	private final Map<Outcome, Integer> outcomes = new HashMap<>();

	private final Map<Integer, Outcome> byRequest = new HashMap<>();

	private final Map<Integer, Integer> actions = new HashMap<>();

	private final Map<String, Long> busyMs = new HashMap<>();

	private final int[] arrived = new int[CHART_BUCKETS];

	private final int[] attained = new int[CHART_BUCKETS];

	private final long durationMs;

	private long tokens;

	private int crashes;

	private int requests;

	private int answeredPush;

	Tally(long durationMs) {
		this.durationMs = durationMs;
	}

	void arrived(Request request) {
		this.requests++;
		this.arrived[bucket(request)]++;
	}

	// Records the one outcome of a request.
	void ended(Request request, Outcome outcome) {
		if (this.byRequest.putIfAbsent(request.id(), outcome) != null) {
			throw new IllegalStateException("request " + request.id() + " ended twice");
		}
		this.outcomes.merge(outcome, 1, Integer::sum);
		if (outcome == Outcome.ANSWERED) {
			this.attained[bucket(request)]++;
			this.answeredPush += (request.idempotent()) ? 0 : 1;
		}
	}

	private int bucket(Request request) {
		return (int) Math.min(CHART_BUCKETS - 1, request.atMs() * CHART_BUCKETS / this.durationMs);
	}

	void executed(Request request, String service) {
		if (service.equals("action")) {
			this.actions.merge(request.id(), 1, Integer::sum);
		}
	}

	void busy(String service, long durationMs) {
		this.busyMs.merge(service, durationMs, Long::sum);
	}

	void tokens(int count) {
		this.tokens += count;
	}

	void crashed() {
		this.crashes++;
	}

	int count(Outcome outcome) {
		return this.outcomes.getOrDefault(outcome, 0);
	}

	double attainment() {
		return (double) count(Outcome.ANSWERED) / this.requests;
	}

	int lost() {
		return this.requests - this.byRequest.size();
	}

	long doubled() {
		return this.actions.values().stream().filter((runs) -> runs > 1).count();
	}

	// Returns the busy milliseconds of a stage per request answered in time that uses it.
	double cost(String service) {
		int answered = count(Outcome.ANSWERED) - ((service.equals("encode")) ? 0 : this.answeredPush);
		return this.busyMs.getOrDefault(service, 0L) / (double) Math.max(1, answered);
	}

	String line() {
		return String.format(Locale.ROOT,
				"attainment=%.4f not_run=%d unknown=%d late=%d failed=%d lost=%d doubled=%d cost_encode=%.1f "
						+ "cost_retrieve=%.1f cost_rerank=%.1f cost_generate=%.1f tokens=%.0f crashes=%d requests=%d",
				attainment(), count(Outcome.NOT_RUN), count(Outcome.UNKNOWN), count(Outcome.LATE),
				count(Outcome.FAILED), lost(), doubled(), cost("encode"), cost("retrieve"), cost("rerank"),
				cost("generate"), this.tokens / (double) Math.max(1, count(Outcome.ANSWERED) - this.answeredPush),
				this.crashes, this.requests);
	}

	// Returns the attainment over time as one row of digits: 9 stands for 90 to 98
	// percent, # for 99 percent or more.
	String chart() {
		StringBuilder row = new StringBuilder();
		for (int i = 0; i < CHART_BUCKETS; i++) {
			double part = (this.arrived[i] > 0) ? (double) this.attained[i] / this.arrived[i] : 1;
			row.append((part >= 0.99) ? "#" : String.valueOf((int) (part * 10)));
		}
		return row.toString();
	}

	/**
	 * How a request ended.
	 */
	enum Outcome {

		/** Answered within the deadline. */
		ANSWERED,

		/** Refused, and no endpoint ran its last stage. */
		NOT_RUN,

		/** Non-idempotent, sent, and not answered. */
		UNKNOWN,

		/** Not answered before the deadline. */
		LATE,

		/** All attempts failed, or the request is quarantined. */
		FAILED

	}

}
