package org.fulmargap.entry.request;

/**
 * Why a request ends without an endpoint's answer. A status of 503 says that the request
 * has not run and never will; 502 and 504 leave it open.
 */
public enum Refusal {

	/** This VM knows no configuration yet. */
	NO_CONFIGURATION(503, 500),

	/** No route matches. */
	NO_ROUTE(404, 0),

	/** The API key is missing or unknown. */
	UNKNOWN_KEY(401, 0),

	/** This VM is about to stop and could not finish the request. */
	STOPPING(503, 50),

	/** The request has crashed several endpoints. */
	QUARANTINED(503, 30_000),

	/** No endpoint can take the request now. */
	NO_ENDPOINT(503, 300),

	/** The stages of the requests before it take longer than the caller waits. */
	OVERLOADED(503, 1_500),

	/** A stage could not be done. */
	STAGE_FAILED(503, 1_500),

	/** There is not enough time left to run the request. */
	TOO_LATE(503, 500),

	/** The request was sent and may have run. */
	OUTCOME_UNKNOWN(502, 0),

	/** The request was sent and its time is over. */
	TIMED_OUT(504, 0);

	private final int status;

	private final long retryAfterMs;

	Refusal(int status, long retryAfterMs) {
		this.status = status;
		this.retryAfterMs = retryAfterMs;
	}

	int status() {
		return this.status;
	}

	long retryAfterMs() {
		return this.retryAfterMs;
	}

}
