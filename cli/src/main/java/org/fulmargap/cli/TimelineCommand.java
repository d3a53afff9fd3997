package org.fulmargap.cli;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Prints the events of a request or a configuration version.
 */
@Command(name = "timeline",
		description = "Prints the events of a request or a configuration version from all given entry VMs and log "
				+ "files, sorted by time.")
final class TimelineCommand extends AdminCommand {

	@ArgGroup(multiplicity = "1")
	private Selection selection;

	@Option(names = "--log-file", paramLabel = "FILE", description = "Log file of an entry VM; may be repeated.")
	private List<Path> logFiles = new ArrayList<>();

	@Override
	boolean requiresAdmin() {
		return this.logFiles.isEmpty();
	}

	@Override
	ExitCode run(AdminClient client) throws CommandException {
		boolean byRequest = this.selection.requestId != null;
		String value = byRequest ? this.selection.requestId : String.valueOf(this.selection.configVersion);
		List<TimelineEvent> events = new TimelineSources(client, this.logFiles, this::warn)
			.find(byRequest ? "request_id" : "config_version", value);
		events.forEach((event) -> out().println(event.toLine()));
		if (events.isEmpty()) {
			warn("no events found");
		}
		return ExitCode.DONE;
	}

	/**
	 * Selects the events, by exactly one of the two options.
	 */
	static final class Selection {

		@Option(names = "--request-id", paramLabel = "ID", description = "Request id from a response.")
		private String requestId;

		@Option(names = "--config-version", paramLabel = "N", description = "Configuration version.")
		private Long configVersion;

	}

}
