package org.fulmargap.cli;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import picocli.CommandLine.Parameters;

/**
 * Base of the commands that take a failure domain or an endpoint out of service or return
 * it to service.
 */
abstract class OrderCommand extends AdminCommand {

	@Parameters(index = "0", paramLabel = "KIND", description = "failure-domain or endpoint.")
	private String kind;

	@Parameters(index = "1", paramLabel = "NAME", description = "Name of the failure domain or endpoint.")
	private String name;

	/**
	 * Returns the state that the command sets.
	 * @return {@code OUT} or {@code IN}, as the operator API names them
	 */
	abstract String state();

	@Override
	ExitCode run(AdminClient client) throws CommandException {
		String path = switch (this.kind) {
			case "failure-domain" -> "failure-domains";
			case "endpoint" -> "endpoints";
			default -> throw usageError("'" + this.kind + "' is not one of failure-domain, endpoint");
		};
		AdminResponse response = client.send("PUT", AdminClient.MAPPER.createObjectNode().put("state", state()), "v1",
				path, this.name, "state");
		JsonNode result = response.successBody();
		List<String> confirmed = textValues(result.path("confirmed"));
		List<String> unconfirmed = textValues(result.path("not_confirmed"));
		out().println(this.kind + "=" + this.name + " state=" + state() + " in_force="
				+ result.path("in_force").asBoolean(unconfirmed.isEmpty()) + " confirmed=" + String.join(",", confirmed)
				+ " not_confirmed=" + String.join(",", unconfirmed));
		return result.path("in_force").asBoolean(unconfirmed.isEmpty()) ? ExitCode.DONE : ExitCode.OUTCOME_UNKNOWN;
	}

	private static List<String> textValues(JsonNode array) {
		List<String> values = new ArrayList<>();
		array.forEach((node) -> values.add(node.asText()));
		return values;
	}

}
