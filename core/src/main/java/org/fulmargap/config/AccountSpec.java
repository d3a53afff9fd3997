package org.fulmargap.config;

import java.util.Objects;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.fulmargap.request.Priority;

/**
 * A client account.
 *
 * @param apiKeySha256 the SHA-256 digest of the bearer key, 64 lower-case hexadecimal
 * digits
 * @param weight the share of capacity under contention, relative to other accounts, at
 * least 1
 * @param maxPriority the highest priority that the account may request; {@code NORMAL} if
 * absent
 */
public record AccountSpec(@JsonProperty(value = "api_key_sha256", required = true) String apiKeySha256,
		@JsonProperty(value = "weight", required = true) int weight,
		@JsonProperty("max_priority") Priority maxPriority) {

	/**
	 * Checks the components.
	 */
	public AccountSpec {
		Objects.requireNonNull(apiKeySha256, "api_key_sha256");
		if (!apiKeySha256.matches("[0-9a-f]{64}")) {
			throw new IllegalArgumentException("api_key_sha256 must be 64 lower-case hexadecimal digits");
		}
		if (weight < 1) {
			throw new IllegalArgumentException("weight must be at least 1: " + weight);
		}
		maxPriority = (maxPriority != null) ? maxPriority : Priority.NORMAL;
	}

}
