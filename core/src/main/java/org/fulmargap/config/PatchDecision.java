package org.fulmargap.config;

import java.util.Objects;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Decision about a patch that follows from the configuration stream.
 *
 * @param patchId the id of the patch
 * @param version the version in force after the decision
 * @param rejection why the patch was rejected, or {@code null} if it was accepted
 * @param message a human-readable explanation
 */
public record PatchDecision(@JsonProperty(value = "patch_id", required = true) String patchId,
		@JsonProperty(value = "version", required = true) long version,
		@JsonInclude(JsonInclude.Include.NON_NULL) @JsonProperty("rejection") PatchRejection rejection,
		@JsonProperty(value = "message", required = true) String message) {

	/**
	 * Checks the components.
	 */
	public PatchDecision {
		Objects.requireNonNull(patchId, "patch_id");
		Objects.requireNonNull(message, "message");
	}

	/**
	 * Returns whether the patch was accepted.
	 * @return {@code true} if the patch was committed
	 */
	public boolean accepted() {
		return this.rejection == null;
	}

}
