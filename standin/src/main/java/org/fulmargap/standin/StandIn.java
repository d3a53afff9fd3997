package org.fulmargap.standin;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/**
 * Command line of the stand-ins and of the tools that use them.
 */
@Command(name = "standin", mixinStandardHelpOptions = true, description = "Stand-ins of the platform and of endpoints.",
		subcommands = { PlatformCommand.class, EndpointCommand.class, LoadCommand.class, DemoCommand.class,
				LatencyCommand.class, ControlCostCommand.class })
public final class StandIn {

	private StandIn() {
	}

	/**
	 * Runs a subcommand.
	 * @param args the subcommand and its options
	 */
	public static void main(String[] args) {
		// Not named logback.xml, because test processes also have the server's on their
		// class path.
		System.setProperty("logback.configurationFile", "standin-logback.xml");
		CommandLine commandLine = new CommandLine(new StandIn());
		commandLine.setExecutionExceptionHandler((failure, command, parsed) -> {
			command.getErr().println("failed=" + failure);
			return 1;
		});
		System.exit(commandLine.execute(args));
	}

}
