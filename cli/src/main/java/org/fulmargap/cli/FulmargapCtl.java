package org.fulmargap.cli;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.HelpCommand;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ScopeType;
import picocli.CommandLine.Spec;

/**
 * Command-line interface for operators.
 */
@Command(name = "fulmargapctl", mixinStandardHelpOptions = true, version = "fulmargapctl 0.1.0",
		description = "Operates the entry VMs of fulmargap.",
		subcommands = { PatchCommand.class, ConfigCommand.class, VersionsCommand.class, TakeOutCommand.class,
				BringBackCommand.class, MembersCommand.class, EvictCommand.class, TimelineCommand.class,
				ExplainRequestCommand.class, ExplainCommand.class, HelpCommand.class },
		footer = { "", "Exit codes: 0 done, 1 refused, 2 usage, 3 not reachable, 4 outcome unknown." })
public final class FulmargapCtl implements Runnable {

	@Option(names = "--admin", paramLabel = "IP:port", scope = ScopeType.INHERIT,
			description = "Admin address of an entry VM. May be repeated; commands that change state go to the first "
					+ "address that can be reached.")
	private List<String> admins = new ArrayList<>();

	@Option(names = "--timeout-ms", paramLabel = "MS", defaultValue = "15000", scope = ScopeType.INHERIT,
			description = "Time limit of each call in milliseconds (default: ${DEFAULT-VALUE}).")
	private long timeoutMs;

	@Spec
	private CommandSpec spec;

	/**
	 * Runs a command and ends the process with its exit code.
	 * @param args the command line
	 */
	public static void main(String[] args) {
		System.exit(commandLine().execute(args));
	}

	/**
	 * Creates the command-line parser.
	 * @return the parser, which reports each error on one line and maps it to an exit
	 * code
	 */
	static CommandLine commandLine() {
		CommandLine line = new CommandLine(new FulmargapCtl());
		line.setParameterExceptionHandler((ex, args) -> {
			ex.getCommandLine().getErr().println("fulmargapctl: " + firstLine(ex) + "; see 'fulmargapctl help'");
			return ExitCode.USAGE.code();
		});
		line.setExecutionExceptionHandler((ex, failed, result) -> {
			failed.getErr().println("fulmargapctl: " + firstLine(ex));
			return ((ex instanceof CommandException command) ? command.exitCode() : ExitCode.REFUSED).code();
		});
		return line;
	}

	private static String firstLine(Exception ex) {
		return String.valueOf(ex.getMessage()).lines().findFirst().orElse(ex.toString());
	}

	@Override
	public void run() {
		throw new CommandLine.ParameterException(this.spec.commandLine(), "a command is missing");
	}

	List<AdminAddress> adminAddresses() {
		LinkedHashSet<AdminAddress> parsed = new LinkedHashSet<>();
		for (String admin : this.admins) {
			try {
				parsed.add(AdminAddress.parse(admin));
			}
			catch (IllegalArgumentException ex) {
				throw new CommandLine.ParameterException(this.spec.commandLine(), "option --admin: " + ex.getMessage(),
						ex);
			}
		}
		return List.copyOf(parsed);
	}

	long timeoutMs() {
		if (this.timeoutMs < 1) {
			throw new CommandLine.ParameterException(this.spec.commandLine(),
					"option --timeout-ms must be at least 1, but is " + this.timeoutMs);
		}
		return this.timeoutMs;
	}

}
