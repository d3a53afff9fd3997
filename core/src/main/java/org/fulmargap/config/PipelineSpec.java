package org.fulmargap.config;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Pipeline of stages that a request runs through in order.
 *
 * @param idempotent whether a request may be run more than once
 * @param deadlineMs the longest time until the response, in milliseconds
 * @param stages the stages in order, at least 1
 */
public record PipelineSpec(@JsonProperty(value = "idempotent", required = true) boolean idempotent,
		@JsonProperty(value = "deadline_ms", required = true) long deadlineMs,
		@JsonProperty(value = "stages", required = true) List<StageSpec> stages) {

	/**
	 * Checks the components.
	 */
	public PipelineSpec {
		if (deadlineMs <= 0) {
			throw new IllegalArgumentException("deadline_ms must be positive: " + deadlineMs);
		}
		stages = List.copyOf(stages);
		if (stages.isEmpty()) {
			throw new IllegalArgumentException("stages must not be empty");
		}
	}

}
