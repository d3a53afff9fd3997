package org.fulmargap.endpoint;

import java.util.Objects;
import java.util.Optional;

import org.fulmargap.config.StageKind;
import org.fulmargap.request.AttemptId;
import org.fulmargap.request.Deadline;
import org.fulmargap.request.Priority;

/**
 * One attempt to run a stage on an endpoint.
 *
 * @param endpoint the name of the endpoint
 * @param url the base URL of the endpoint
 * @param kind what the stage does
 * @param attempt the identity of the attempt
 * @param input the input of the stage
 * @param maxTokens the maximum number of generated tokens, zero for stages that generate
 * none
 * @param startIndex the index of the first requested token, above zero to resume a stream
 * @param priority the priority of the request
 * @param deadline the time by which the answer must be complete
 * @param idempotencyKey the key to send with an action, or empty
 * @param progressLimitMs the time in milliseconds without progress after which the
 * endpoint is probed
 * @param retryable whether the stage may be run again, so that the call may be cancelled
 * before its deadline if the connection is dead
 */
public record StageCall(String endpoint, String url, StageKind kind, AttemptId attempt, String input, int maxTokens,
		int startIndex, Priority priority, Deadline deadline, Optional<String> idempotencyKey, long progressLimitMs,
		boolean retryable) {

	/**
	 * Checks the components.
	 */
	public StageCall {
		Objects.requireNonNull(endpoint, "endpoint");
		Objects.requireNonNull(url, "url");
		Objects.requireNonNull(kind, "kind");
		Objects.requireNonNull(attempt, "attempt");
		Objects.requireNonNull(input, "input");
		Objects.requireNonNull(priority, "priority");
		Objects.requireNonNull(deadline, "deadline");
		Objects.requireNonNull(idempotencyKey, "idempotencyKey");
		if (progressLimitMs < 1) {
			throw new IllegalArgumentException("progressLimitMs must be at least 1: " + progressLimitMs);
		}
	}

}
