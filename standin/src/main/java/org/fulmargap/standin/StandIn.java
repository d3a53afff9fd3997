package org.fulmargap.standin;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/**
 * Command line of the stand-ins, the load tool, the demo and the measuring commands.
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
		// Not named logback.xml, because the class path of test processes also contains
		// the server's logback.xml.
		System.setProperty("logback.configurationFile", "standin-logback.xml");
		CommandLine commandLine = new CommandLine(new StandIn());
		commandLine.setExecutionExceptionHandler((failure, command, parsed) -> {
			command.getErr().println("failed=" + failure);
			return 1;
		});
		System.exit(commandLine.execute(args));
	}

}
