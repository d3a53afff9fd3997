package org.fulmargap.cli;

import com.fasterxml.jackson.databind.JsonNode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/**
 * Removes a member that is gone.
 */
@Command(name = "evict", description = "Removes a member that is gone, so that patches no longer wait for it.")
final class EvictCommand extends AdminCommand {

	@Parameters(paramLabel = "VM", description = "Name of the entry VM.")
	private String vm;

	@Override
	ExitCode run(AdminClient client) throws CommandException {
		// The operator interface confirms the eviction of a name that is no member.
		boolean joined = false;
		for (JsonNode member : client.read("v1", "members").accepted().path("members")) {
			joined |= member.path("vm").asText().equals(this.vm) && member.path("joined").asBoolean(true);
		}
		if (!joined) {
			throw new CommandException(ExitCode.REFUSED, "refused: " + this.vm + " is not a member");
		}
		AdminReply reply = client.send("POST", AdminClient.MAPPER.createObjectNode(), "v1", "members", this.vm,
				"evict");
		JsonNode evicted = reply.body().path("evicted");
		if (evicted.isBoolean() && !evicted.asBoolean()) {
			throw new CommandException(ExitCode.REFUSED,
					"refused: " + reply.admin() + " did not record the eviction of " + this.vm);
		}
		reply.accepted();
		out().println("evicted vm=" + this.vm);
		return ExitCode.DONE;
	}

}
