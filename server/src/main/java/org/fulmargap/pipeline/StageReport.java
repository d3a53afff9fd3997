package org.fulmargap.pipeline;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Summary of one completed stage of a request.
 *
 * @param name the name of the stage
 * @param endpoint the name of the endpoint that delivered the result
 * @param attempts the number of attempts, including the successful one
 * @param durationMs the duration of the stage in milliseconds, including failed attempts
 * and waits for capacity
 */
public record StageReport(@JsonProperty("name") String name, @JsonProperty("endpoint") String endpoint,
		@JsonProperty("attempts") int attempts, @JsonProperty("duration_ms") long durationMs) {
}
