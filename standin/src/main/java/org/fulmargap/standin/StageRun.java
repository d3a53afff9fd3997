package org.fulmargap.standin;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Request to run a stage, ordered by priority, then by arrival.
 */
final class StageRun implements Comparable<StageRun> {

	private static final List<String> PRIORITIES = List.of("LOW", "NORMAL", "HIGH");

	final Exchange exchange;

	final String kind;

	final Body body;

	final EndpointFaults faults;

	final String attempt;

	final String key;

	private final int priority;

	private final long sequence;

	private final long expiresAtMs;

	private volatile State state = State.QUEUED;

	StageRun(Exchange exchange, String kind, Body body, EndpointFaults faults, long sequence, long nowMs) {
		this.exchange = exchange;
		this.kind = kind;
		this.body = body;
		this.faults = faults;
		this.sequence = sequence;
		this.attempt = exchange.header("Fulmargap-Attempt");
		this.key = exchange.header("Idempotency-Key");
		String priorityHeader = exchange.header("Fulmargap-Priority");
		this.priority = PRIORITIES.indexOf((priorityHeader != null) ? priorityHeader : "NORMAL");
		if (this.attempt == null || this.priority < 0) {
			throw new IllegalArgumentException("Fulmargap-Attempt and a known Fulmargap-Priority are required");
		}
		String deadline = exchange.header("Fulmargap-Deadline-Ms");
		this.expiresAtMs = (deadline != null) ? nowMs + Long.parseLong(deadline) : Long.MAX_VALUE;
	}

	boolean isExpired(long nowMs) {
		return nowMs >= this.expiresAtMs;
	}

	boolean isCancelled() {
		return this.state == State.CANCELLED;
	}

	State state() {
		return this.state;
	}

	void state(State next) {
		this.state = next;
	}

	@Override
	public int compareTo(StageRun other) {
		int byPriority = Integer.compare(other.priority, this.priority);
		return (byPriority != 0) ? byPriority : Long.compare(this.sequence, other.sequence);
	}

	/**
	 * States of a run.
	 */
	enum State {

		/** In the queue. */
		QUEUED,

		/** Occupies a slot. */
		RUNNING,

		/** Completed; the slot is released. */
		FINISHED,

		/** Cancelled by the client, by the deadline or by a crash. */
		CANCELLED

	}

	/**
	 * Request body of {@code POST /v1/stages/{kind}}.
	 *
	 * @param requestId the id of the request
	 * @param input the input of the stage
	 * @param maxTokens the number of tokens to generate, zero for the default
	 * @param startIndex the index of the first token to send
	 */
	record Body(@JsonProperty("request_id") String requestId,
			@JsonProperty(value = "input", required = true) String input, @JsonProperty("max_tokens") int maxTokens,
			@JsonProperty("start_index") int startIndex) {

		Body {
			if (input == null || maxTokens < 0 || startIndex < 0) {
				throw new IllegalArgumentException(
						"input is required; max_tokens and start_index must not be negative");
			}
		}

	}

}
