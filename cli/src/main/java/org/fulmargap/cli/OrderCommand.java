package org.fulmargap.cli;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import picocli.CommandLine.Parameters;

/**
 * Base of the commands that take a target out of service or bring it back.
 */
abstract class OrderCommand extends AdminCommand {

	@Parameters(index = "0", paramLabel = "KIND", description = "failure-domain or endpoint.")
	private String kind;

	@Parameters(index = "1", paramLabel = "NAME", description = "Name of the failure domain or endpoint.")
	private String name;

	/**
	 * Returns the state that the command sets.
	 * @return {@code OUT} or {@code IN}
	 */
	abstract String state();

	@Override
	ExitCode run(AdminClient client) throws CommandException {
		String path = switch (this.kind) {
			case "failure-domain" -> "failure-domains";
			case "endpoint" -> "endpoints";
			default -> throw usage("'" + this.kind + "' is not one of failure-domain, endpoint");
		};
		AdminReply reply = client.send("PUT", AdminClient.MAPPER.createObjectNode().put("state", state()), "v1", path,
				this.name, "state");
		JsonNode result = reply.accepted();
		List<String> confirmed = texts(result.path("confirmed"));
		List<String> missing = texts(result.path("not_confirmed"));
		out().println(this.kind + "=" + this.name + " state=" + state() + " in_force="
				+ result.path("in_force").asBoolean(missing.isEmpty()) + " confirmed=" + String.join(",", confirmed)
				+ " not_confirmed=" + String.join(",", missing));
		return result.path("in_force").asBoolean(missing.isEmpty()) ? ExitCode.DONE : ExitCode.OUTCOME_UNKNOWN;
	}

	private static List<String> texts(JsonNode array) {
		List<String> texts = new ArrayList<>();
		array.forEach((node) -> texts.add(node.asText()));
		return texts;
	}

}
