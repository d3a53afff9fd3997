package org.fulmargap.cli;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Response of an entry VM.
 *
 * @param address the address that responded
 * @param status the HTTP status
 * @param body the body, or a missing node if it is not JSON
 */
record AdminResponse(AdminAddress address, int status, JsonNode body) {

	/**
	 * Returns the body of a successful response. A 5xx status without an error type
	 * leaves the outcome unknown; any other failure counts as refused.
	 * @return the body, a JSON object
	 * @throws CommandException if the status is not 2xx or the body is not an object
	 */
	JsonNode successBody() throws CommandException {
		if (this.status >= 200 && this.status < 300 && this.body.isObject()) {
			return this.body;
		}
		JsonNode error = this.body.path("error");
		if (error.path("type").isTextual()) {
			throw new CommandException(ExitCode.REFUSED,
					"refused by " + this.address + ": " + error.path("type").asText() + " ("
							+ error.path("reason").asText() + "): " + error.path("message").asText());
		}
		throw new CommandException((this.status >= 500) ? ExitCode.OUTCOME_UNKNOWN : ExitCode.REFUSED,
				this.address + " responded with HTTP " + this.status + " without an error type");
	}

}
