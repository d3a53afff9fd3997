package org.fulmargap.cli;

import java.io.PrintWriter;
import java.util.concurrent.Callable;

import com.fasterxml.jackson.databind.JsonNode;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParentCommand;
import picocli.CommandLine.Spec;

/**
 * Base of the commands that call entry VMs.
 */
@Command(mixinStandardHelpOptions = true)
abstract class AdminCommand implements Callable<Integer> {

	@ParentCommand
	private FulmargapCtl parent;

	@Spec
	private CommandSpec spec;

	@Override
	public Integer call() throws CommandException {
		if (this.parent.adminAddresses().isEmpty() && requiresAdmin()) {
			throw usageError("option --admin IP:port is missing");
		}
		try (AdminClient client = new AdminClient(this.parent.adminAddresses(), this.parent.timeoutMs())) {
			return run(client).code();
		}
	}

	/**
	 * Runs the command.
	 * @param client the client for the given admin addresses
	 * @return the exit code
	 * @throws CommandException if the command fails
	 */
	abstract ExitCode run(AdminClient client) throws CommandException;

	/**
	 * Returns whether the command requires an admin address.
	 * @return {@code false} if the command can run on log files alone
	 */
	boolean requiresAdmin() {
		return true;
	}

	PrintWriter out() {
		return this.spec.commandLine().getOut();
	}

	void warn(String message) {
		this.spec.commandLine().getErr().println("fulmargapctl: warning: " + message);
	}

	CommandLine.ParameterException usageError(String message) {
		return new CommandLine.ParameterException(this.spec.commandLine(), message);
	}

	/**
	 * Prints the fields of a JSON object as one line of key=value pairs.
	 * @param node the JSON object
	 */
	void printLine(JsonNode node) {
		StringBuilder line = new StringBuilder();
		node.fields().forEachRemaining((field) -> {
			JsonNode value = field.getValue();
			String text = value.isContainerNode() ? value.toString() : value.asText();
			line.append(line.isEmpty() ? "" : " ").append(field.getKey()).append('=').append(KeyValueLine.quote(text));
		});
		out().println(line);
	}

}
