package org.fulmargap.routing;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Load reported by an endpoint.
 *
 * @param incarnation the incarnation of the endpoint process
 * @param inFlight the number of running requests
 * @param queued the number of waiting requests
 * @param capacity the number of requests that the endpoint can run at the same time now
 * @param reportedAtMs when the endpoint measured the load, milliseconds since the epoch
 * @param attempts the ids of the attempts that are running or queued
 */
public record LoadReport(@JsonProperty("incarnation") String incarnation, @JsonProperty("in_flight") int inFlight,
		@JsonProperty("queued") int queued, @JsonProperty("capacity") int capacity,
		@JsonProperty("reported_at_ms") long reportedAtMs, @JsonProperty("attempts") List<String> attempts) {

	/**
	 * Copies the list of attempts; {@code null} becomes an empty list.
	 */
	public LoadReport {
		attempts = (attempts != null) ? List.copyOf(attempts) : List.of();
	}

}
