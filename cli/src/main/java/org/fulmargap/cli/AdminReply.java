package org.fulmargap.cli;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Answer of an entry VM.
 *
 * @param admin the address that answered
 * @param status the HTTP status
 * @param body the body, a missing node if it is not JSON
 */
record AdminReply(AdminAddress admin, int status, JsonNode body) {

	/**
	 * Returns the body of a successful answer.
	 * @return the body
	 * @throws CommandException if the entry VM refused, or failed without a type
	 */
	JsonNode accepted() throws CommandException {
		if (this.status >= 200 && this.status < 300 && this.body.isObject()) {
			return this.body;
		}
		JsonNode error = this.body.path("error");
		if (error.path("type").isTextual()) {
			throw new CommandException(ExitCode.REFUSED, "refused by " + this.admin + ": " + error.path("type").asText()
					+ " (" + error.path("reason").asText() + "): " + error.path("message").asText());
		}
		throw new CommandException((this.status >= 500) ? ExitCode.OUTCOME_UNKNOWN : ExitCode.REFUSED,
				this.admin + " answered HTTP " + this.status + " without a known type of failure");
	}

}
