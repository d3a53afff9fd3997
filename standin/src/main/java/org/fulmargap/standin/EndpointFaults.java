package org.fulmargap.standin;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Injected faults of an endpoint stand-in. Fields that a change does not contain keep
 * their value.
 *
 * @param match the request faults apply only to inputs that contain this text; empty for
 * all
 * @param limit the number of further requests that the request faults apply to, -1 for
 * all
 * @param delayMs the additional duration of a request in milliseconds
 * @param slowFactor the factor by which the duration of requests is multiplied
 * @param hold whether started requests do not complete until this is switched off
 * @param failStatus the HTTP error status of requests, which are not run; zero for none
 * @param notRun whether requests are refused with the header {@code Fulmargap-Not-Run}
 * @param closeBefore whether the connection is closed and the request is not run
 * @param closeAfter whether the connection is closed after the request has run
 * @param crossAnswer whether the request gets the response to another attempt, with the
 * id of that attempt
 * @param duplicateAnswer whether the response, or each token of a stream, is sent twice
 * @param truncateAnswer how the response is truncated
 * @param crashMarker a request whose input contains this text crashes the endpoint; empty
 * for none
 * @param crashExit whether a crash ends the process; otherwise all connections are closed
 * and the endpoint restarts as a new incarnation
 * @param crashDownMs the time for which a crashed endpoint refuses connections, in
 * milliseconds
 * @param leaving whether responses have the header {@code Fulmargap-Leaving}
 * @param silenceOpenConnections stops responding on the connections that are open now,
 * once
 * @param becomeCold makes the endpoint cold without a new incarnation, once
 * @param crash crashes the endpoint, once
 */
record EndpointFaults(@JsonProperty("match") String match, @JsonProperty("limit") int limit,
		@JsonProperty("delay_ms") long delayMs, @JsonProperty("slow_factor") double slowFactor,
		@JsonProperty("hold") boolean hold, @JsonProperty("fail_status") int failStatus,
		@JsonProperty("not_run") boolean notRun, @JsonProperty("close_before") boolean closeBefore,
		@JsonProperty("close_after") boolean closeAfter, @JsonProperty("cross_answer") boolean crossAnswer,
		@JsonProperty("duplicate_answer") boolean duplicateAnswer,
		@JsonProperty("truncate_answer") Truncation truncateAnswer, @JsonProperty("crash_marker") String crashMarker,
		@JsonProperty("crash_exit") boolean crashExit, @JsonProperty("crash_down_ms") long crashDownMs,
		@JsonProperty("leaving") boolean leaving,
		@JsonProperty("silence_open_connections") boolean silenceOpenConnections,
		@JsonProperty("become_cold") boolean becomeCold, @JsonProperty("crash") boolean crash) {

	static final EndpointFaults NONE = new EndpointFaults("", -1, 0, 1, false, 0, false, false, false, false, false,
			Truncation.NONE, "", false, 500, false, false, false, false);

	EndpointFaults {
		match = (match != null) ? match : "";
		crashMarker = (crashMarker != null) ? crashMarker : "";
		truncateAnswer = (truncateAnswer != null) ? truncateAnswer : Truncation.NONE;
		if (limit < -1 || delayMs < 0 || !(slowFactor > 0) || crashDownMs < 0) {
			throw new IllegalArgumentException(
					"limit must be -1 or more, times must not be negative, and slow_factor must be positive");
		}
		if (failStatus != 0 && (failStatus < 400 || failStatus > 599)) {
			throw new IllegalArgumentException("fail_status must be from 400 to 599: " + failStatus);
		}
	}

	boolean appliesTo(String input) {
		return this.limit != 0 && input.contains(this.match);
	}

	boolean crashes(String input) {
		return !this.crashMarker.isEmpty() && input.contains(this.crashMarker);
	}

	/**
	 * Returns the faults that apply after a request: {@code limit} is reduced by one if
	 * they applied to the request.
	 * @param input the input of the request
	 * @return a copy with a lower limit, or the same faults
	 */
	EndpointFaults afterRequest(String input) {
		return (this.limit > 0 && appliesTo(input)) ? with(this.limit - 1, true) : this;
	}

	EndpointFaults withoutTriggers() {
		return with(this.limit, false);
	}

	private EndpointFaults with(int newLimit, boolean keepTriggers) {
		return new EndpointFaults(this.match, newLimit, this.delayMs, this.slowFactor, this.hold, this.failStatus,
				this.notRun, this.closeBefore, this.closeAfter, this.crossAnswer, this.duplicateAnswer,
				this.truncateAnswer, this.crashMarker, this.crashExit, this.crashDownMs, this.leaving,
				keepTriggers && this.silenceOpenConnections, keepTriggers && this.becomeCold,
				keepTriggers && this.crash);
	}

	/**
	 * Ways to truncate a response.
	 */
	enum Truncation {

		/** The response is complete. */
		NONE,

		/** The connection is closed in the middle of the response. */
		CLOSE,

		/** The response ends in the middle, without a transport error. */
		END;

		boolean closesConnection() {
			return this == CLOSE;
		}

	}

}
