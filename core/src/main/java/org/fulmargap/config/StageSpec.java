package org.fulmargap.config;

import java.util.Objects;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * One stage of a pipeline.
 *
 * @param name the name of the stage, unique within its pipeline
 * @param kind what the stage does
 * @param service the service whose endpoints run the stage
 * @param maxTokens the maximum number of generated tokens, zero for stages that generate
 * none
 */
public record StageSpec(@JsonProperty("name") String name, @JsonProperty("kind") StageKind kind,
		@JsonProperty("service") String service, @JsonProperty("max_tokens") int maxTokens) {

	/**
	 * Checks the components.
	 */
	public StageSpec {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(kind, "kind");
		Objects.requireNonNull(service, "service");
		if (maxTokens < 0) {
			throw new IllegalArgumentException("max_tokens must not be negative: " + maxTokens);
		}
	}

	// Takes the number as an object because the mapper rejects absent primitive values.
	@JsonCreator
	static StageSpec of(@JsonProperty(value = "name", required = true) String name,
			@JsonProperty(value = "kind", required = true) StageKind kind,
			@JsonProperty(value = "service", required = true) String service,
			@JsonProperty("max_tokens") Integer maxTokens) {
		return new StageSpec(name, kind, service, (maxTokens != null) ? maxTokens : 0);
	}

}
