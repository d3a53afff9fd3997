package org.fulmargap.cli;

import com.fasterxml.jackson.databind.JsonNode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/**
 * Removes an entry VM that has ended from the membership.
 */
@Command(name = "evict", description = "Removes an entry VM that has ended, so that patches no longer wait for it.")
final class EvictCommand extends AdminCommand {

	@Parameters(paramLabel = "VM", description = "Name of the entry VM.")
	private String vm;

	@Override
	ExitCode run(AdminClient client) throws CommandException {
		// The response to an eviction does not distinguish a name that is not a member
		// from an eviction that was not recorded.
		boolean joined = false;
		for (JsonNode member : client.read("v1", "members").successBody().path("members")) {
			joined |= member.path("vm").asText().equals(this.vm) && member.path("joined").asBoolean(true);
		}
		if (!joined) {
			throw new CommandException(ExitCode.REFUSED, "refused: " + this.vm + " is not a member");
		}
		AdminResponse response = client.send("POST", AdminClient.MAPPER.createObjectNode(), "v1", "members", this.vm,
				"evict");
		JsonNode evicted = response.body().path("evicted");
		if (evicted.isBoolean() && !evicted.asBoolean()) {
			throw new CommandException(ExitCode.REFUSED,
					"refused: " + response.address() + " did not record the eviction of " + this.vm);
		}
		response.successBody();
		out().println("evicted vm=" + this.vm);
		return ExitCode.DONE;
	}

}
