package org.fulmargap.claim;

import java.util.Objects;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.fulmargap.config.Json;

/**
 * Record of the claims stream. One append carries several records, see
 * {@link ClaimBatch}.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({ @JsonSubTypes.Type(value = ClaimRecord.Claim.class, name = "claim"),
		@JsonSubTypes.Type(value = ClaimRecord.Outcome.class, name = "outcome"),
		@JsonSubTypes.Type(value = ClaimRecord.Release.class, name = "release"),
		@JsonSubTypes.Type(value = ClaimRecord.Checkpoint.class, name = "checkpoint"),
		@JsonSubTypes.Type(value = ClaimRecord.Coverage.class, name = "coverage") })
public sealed interface ClaimRecord {

	/**
	 * Returns the size of the record as JSON.
	 * @return the number of characters
	 */
	default int jsonChars() {
		return Json.mapper().valueToTree(this).toString().length();
	}

	/**
	 * Claims a key for one attempt.
	 *
	 * @param key the key
	 * @param digest the digest of pipeline and body
	 * @param attemptId the id of the attempt, globally unique and never reused
	 * @param incarnation the incarnation that makes the claim
	 * @param claimedAtMs when the attempt began, milliseconds since the epoch
	 */
	record Claim(@JsonProperty(value = "key", required = true) ClaimKey key,
			@JsonProperty(value = "digest", required = true) String digest,
			@JsonProperty(value = "attempt_id", required = true) String attemptId,
			@JsonProperty(value = "incarnation", required = true) String incarnation,
			@JsonProperty(value = "claimed_at_ms", required = true) long claimedAtMs) implements ClaimRecord {

		/**
		 * Checks the components.
		 */
		public Claim {
			Objects.requireNonNull(key, "key");
			Objects.requireNonNull(digest, "digest");
			Objects.requireNonNull(attemptId, "attempt_id");
			Objects.requireNonNull(incarnation, "incarnation");
		}

	}

	/**
	 * Records the end of an attempt that was dispatched.
	 *
	 * @param key the key
	 * @param attemptId the id of the attempt
	 * @param outcome the answer
	 */
	record Outcome(@JsonProperty(value = "key", required = true) ClaimKey key,
			@JsonProperty(value = "attempt_id", required = true) String attemptId,
			@JsonProperty(value = "outcome", required = true) RecordedOutcome outcome) implements ClaimRecord {

		/**
		 * Checks the components.
		 */
		public Outcome {
			Objects.requireNonNull(key, "key");
			Objects.requireNonNull(attemptId, "attempt_id");
			Objects.requireNonNull(outcome, "outcome");
		}

	}

	/**
	 * Withdraws the claim of an attempt that has not been and will not be dispatched.
	 *
	 * @param key the key
	 * @param attemptId the id of the attempt
	 */
	record Release(@JsonProperty(value = "key", required = true) ClaimKey key,
			@JsonProperty(value = "attempt_id", required = true) String attemptId) implements ClaimRecord {

		/**
		 * Checks the components.
		 */
		public Release {
			Objects.requireNonNull(key, "key");
			Objects.requireNonNull(attemptId, "attempt_id");
		}

	}

	/**
	 * Repeats a claim, with its outcome if there is one, before retention removes the
	 * original record.
	 *
	 * @param claim the claim; its time determines when it expires
	 * @param rank the rank of the original record
	 * @param outcome the outcome, or {@code null} if none is recorded
	 */
	record Checkpoint(@JsonProperty(value = "claim", required = true) Claim claim,
			@JsonProperty(value = "rank", required = true) long rank,
			@JsonInclude(JsonInclude.Include.NON_NULL) @JsonProperty("outcome") RecordedOutcome outcome)
			implements
				ClaimRecord {

		/**
		 * Checks the components.
		 */
		public Checkpoint {
			Objects.requireNonNull(claim, "claim");
		}

	}

	/**
	 * States that every live claim has a record at or above an offset. A reader that
	 * starts at or below that offset therefore misses no live claim.
	 *
	 * @param since the offset
	 */
	record Coverage(@JsonProperty(value = "since", required = true) long since) implements ClaimRecord {
	}

}
