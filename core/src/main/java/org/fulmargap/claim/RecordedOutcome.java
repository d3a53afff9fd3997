package org.fulmargap.claim;

import java.util.Objects;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Final response to a non-idempotent request, as recorded in the claims stream.
 *
 * @param httpStatus the HTTP status that the first caller received
 * @param body the JSON body that the first caller received; empty if it was too large to
 * record
 * @param unknown whether the request may have run without a known result
 */
public record RecordedOutcome(@JsonProperty("http_status") int httpStatus, @JsonProperty("body") String body,
		@JsonProperty("unknown") boolean unknown) {

	/** The maximum length of a recorded body in UTF-16 code units. */
	public static final int MAX_BODY_CHARS = 16 * 1024;

	/**
	 * Checks the components.
	 */
	public RecordedOutcome {
		Objects.requireNonNull(body, "body");
	}

	/**
	 * Returns the outcome as it is recorded in the stream.
	 * @return this outcome, without its body if that is longer than
	 * {@link #MAX_BODY_CHARS}
	 */
	public RecordedOutcome toRecord() {
		return (this.body.length() <= MAX_BODY_CHARS) ? this : new RecordedOutcome(this.httpStatus, "", this.unknown);
	}

}
