package org.fulmargap.standin;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Counts the executions at an endpoint stand-in, so that tests can assert that an action
 * ran at most once. The counts survive a simulated crash.
 */
final class Executions {

	/** The oldest attempts beyond this number are evicted; keys are never evicted. */
	private static final int MAX_ATTEMPTS = 100_000;

	private final Map<String, Integer> keys = new TreeMap<>();

	private final Map<String, Integer> kinds = new TreeMap<>();

	private final Map<String, Integer> attempts = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Integer> eldest) {
			return size() > MAX_ATTEMPTS;
		}
	};

	private int peakRunning;

	private int overloads;

	private int crashes;

	synchronized void started(String kind, String attempt, String key, int running) {
		this.kinds.merge(kind, 1, Integer::sum);
		this.attempts.merge(attempt, 1, Integer::sum);
		if (kind.equals("action")) {
			this.keys.merge((key != null) ? key : "", 1, Integer::sum);
		}
		this.peakRunning = Math.max(this.peakRunning, running);
	}

	synchronized void overloaded() {
		this.overloads++;
	}

	synchronized void crashed() {
		this.crashes++;
	}

	synchronized Report report(boolean withAttempts) {
		return new Report(new TreeMap<>(this.keys), new TreeMap<>(this.kinds),
				withAttempts ? new LinkedHashMap<>(this.attempts) : Map.of(), this.peakRunning, this.overloads,
				this.crashes);
	}

	/**
	 * Response body of {@code GET /control/executions}.
	 *
	 * @param keys the number of executions of actions per idempotency key
	 * @param kinds the number of executions per kind of stage
	 * @param attempts the number of executions per attempt
	 * @param peakRunning the maximum number of requests that ran at the same time
	 * @param overloads the number of requests rejected because the endpoint was cold and
	 * at its capacity
	 * @param crashes the number of crashes
	 */
	record Report(@JsonProperty("keys") Map<String, Integer> keys, @JsonProperty("kinds") Map<String, Integer> kinds,
			@JsonProperty("attempts") Map<String, Integer> attempts, @JsonProperty("peak_running") int peakRunning,
			@JsonProperty("overloads") int overloads, @JsonProperty("crashes") int crashes) {
	}

}
