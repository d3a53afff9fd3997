package org.fulmargap.request;

/**
 * Types of failures reported to callers. Each type has an HTTP status and states whether
 * the request is known not to have run.
 */
public enum FailureType {

	/** The request cannot be parsed. */
	MALFORMED_REQUEST(400, true),

	/** The bearer key belongs to no client account. */
	UNAUTHENTICATED(401, true),

	/** The configuration has no pipeline of this name. */
	UNKNOWN_PIPELINE(404, true),

	/** The body exceeds the configured bound. */
	BODY_TOO_LARGE(413, true),

	/** A non-idempotent pipeline was called without an idempotency key. */
	KEY_REQUIRED(400, true),

	/** The idempotency key is too long or contains characters that are not allowed. */
	KEY_INVALID(400, true),

	/** The idempotency key was used before with another pipeline or body. */
	KEY_CONFLICT(409, true),

	/** The idempotency key is older than the time for which claims are kept. */
	KEY_EXPIRED(410, false),

	/**
	 * The request crashed several endpoints and is refused until its quarantine expires.
	 */
	REQUEST_QUARANTINED(422, false),

	/** The client account or the entry VM has no free capacity for this request. */
	OVERLOADED(429, true),

	/** It is certain that the request did not reach an endpoint. */
	NOT_RUN(503, true),

	/** The request may have run, and its result is not known. */
	OUTCOME_UNKNOWN(502, false),

	/** The deadline passed before the answer was complete. */
	DEADLINE_EXCEEDED(504, false),

	/** A stage failed on each permitted attempt. */
	STAGE_FAILED(502, false);

	private final int httpStatus;

	private final boolean notRun;

	FailureType(int httpStatus, boolean notRun) {
		this.httpStatus = httpStatus;
		this.notRun = notRun;
	}

	/**
	 * Returns the HTTP status that reports this failure.
	 * @return a status from 400 to 599
	 */
	public int httpStatus() {
		return this.httpStatus;
	}

	/**
	 * Returns whether this type guarantees that no endpoint ran the request.
	 * @return {@code true} if the request did not run
	 */
	public boolean isNotRun() {
		return this.notRun;
	}

}
