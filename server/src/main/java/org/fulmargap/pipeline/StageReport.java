package org.fulmargap.pipeline;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * How one stage of a request was run.
 *
 * @param name the name of the stage
 * @param endpoint the endpoint that delivered the result
 * @param attempts the number of attempts
 * @param durationMs the duration of the stage in milliseconds
 */
public record StageReport(@JsonProperty("name") String name, @JsonProperty("endpoint") String endpoint,
		@JsonProperty("attempts") int attempts, @JsonProperty("duration_ms") long durationMs) {
}
