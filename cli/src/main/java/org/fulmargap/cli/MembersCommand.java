package org.fulmargap.cli;

import com.fasterxml.jackson.databind.JsonNode;
import picocli.CommandLine.Command;

/**
 * Prints the members.
 */
@Command(name = "members", description = "Prints one line per entry VM, as the first reachable one sees them.")
final class MembersCommand extends AdminCommand {

	@Override
	ExitCode run(AdminClient client) throws CommandException {
		for (JsonNode member : client.read("v1", "members").accepted().path("members")) {
			printLine(member);
		}
		return ExitCode.DONE;
	}

}
