package org.fulmargap.cli;

import com.fasterxml.jackson.databind.JsonNode;
import picocli.CommandLine.Command;

/**
 * Prints one line per member.
 */
@Command(name = "members",
		description = "Prints one line per entry VM, as reported by the first address that responds.")
final class MembersCommand extends AdminCommand {

	@Override
	ExitCode run(AdminClient client) throws CommandException {
		for (JsonNode member : client.read("v1", "members").successBody().path("members")) {
			printLine(member);
		}
		return ExitCode.DONE;
	}

}
