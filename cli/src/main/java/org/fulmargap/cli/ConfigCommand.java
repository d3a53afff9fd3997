package org.fulmargap.cli;

import picocli.CommandLine.Command;

/**
 * Prints the configuration in force.
 */
@Command(name = "config", description = "Prints the configuration in force and its version as JSON.")
final class ConfigCommand extends AdminCommand {

	@Override
	ExitCode run(AdminClient client) throws CommandException {
		out().println(client.read("v1", "config").successBody().toPrettyString());
		return ExitCode.DONE;
	}

}
