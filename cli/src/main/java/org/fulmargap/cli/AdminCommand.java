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
		if (this.parent.admins().isEmpty() && needsAdmin()) {
			throw usage("option --admin IP:port is missing");
		}
		try (AdminClient client = new AdminClient(this.parent.admins(), this.parent.timeoutMs())) {
			return run(client).code();
		}
	}

	/**
	 * Carries out the command.
	 * @param client calls the entry VMs
	 * @return the exit code
	 * @throws CommandException if the command fails
	 */
	abstract ExitCode run(AdminClient client) throws CommandException;

	/**
	 * Tells whether the command cannot do without an admin address.
	 * @return {@code true} unless the command has other sources
	 */
	boolean needsAdmin() {
		return true;
	}

	PrintWriter out() {
		return this.spec.commandLine().getOut();
	}

	void warn(String line) {
		this.spec.commandLine().getErr().println("fulmargapctl: warning: " + line);
	}

	CommandLine.ParameterException usage(String message) {
		return new CommandLine.ParameterException(this.spec.commandLine(), message);
	}

	/**
	 * Prints the fields of an object as one line.
	 * @param node the object
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
