package org.fulmargap.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * Prints the history of one request from the logs of entry VMs.
 */
@Command(name = "explain",
		description = "Prints the history of one request from the logs of entry VMs: its outcome first, "
				+ "then all its log lines sorted by time.")
final class ExplainCommand implements Callable<Integer> {

	@Parameters(index = "0", paramLabel = "ID", description = "Attempt id that the caller sent with the request.")
	private String requestId;

	@Parameters(index = "1..*", paramLabel = "FILE", description = "Log files of entry VMs (default: standard input).")
	private List<Path> files = new ArrayList<>();

	@Spec
	private CommandSpec spec;

	@Override
	public Integer call() throws CommandException {
		List<Event> events = events();
		if (events.isEmpty()) {
			throw new CommandException(ExitCode.REFUSED, "no line of request " + this.requestId + " was found; lines "
					+ "about requests are dropped first when an entry VM logs faster than it can write");
		}
		events.sort(Comparator.comparing(Event::at));
		PrintWriter out = this.spec.commandLine().getOut();
		out.println(outcome(events));
		events.forEach((event) -> out.println(event.source() + " " + event.line()));
		out.flush();
		return ExitCode.DONE.code();
	}

	private List<Event> events() throws CommandException {
		List<Event> events = new ArrayList<>();
		try {
			for (Path file : this.files) {
				try (BufferedReader reader = Files.newBufferedReader(file)) {
					collect(file.getFileName().toString(), reader, events);
				}
			}
			if (this.files.isEmpty()) {
				collect("-", new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8)), events);
			}
		}
		catch (IOException ex) {
			throw new CommandException(ExitCode.USAGE, "a log cannot be read: " + ex);
		}
		return events;
	}

	private void collect(String source, BufferedReader reader, List<Event> events) throws IOException {
		for (String line = reader.readLine(); line != null; line = reader.readLine()) {
			if (line.contains(this.requestId)) {
				Map<String, String> fields = KeyValueLine.parse(line);
				if (this.requestId.equals(fields.get("request"))) {
					events.add(new Event(source, line.strip(), fields));
				}
			}
		}
	}

	private static String outcome(List<Event> events) {
		Event outcome = events.get(events.size() - 1);
		for (Event event : events) {
			if (List.of("answered", "refused", "caller_left").contains(event.name())) {
				outcome = event;
			}
		}
		return switch (outcome.name()) {
			case "answered" -> "answered with status " + outcome.field("status") + " after " + outcome.field("age_ms")
					+ " ms, " + outcome.field("runs") + " run(s)";
			case "refused" -> "refused as " + outcome.field("reason") + " after " + outcome.field("age_ms") + " ms, "
					+ outcome.field("runs") + " run(s)" + configuration(outcome) + cause(events);
			case "caller_left" ->
				"the caller closed the connection after " + outcome.field("age_ms") + " ms" + cause(events);
			default -> "no outcome was logged; the last event is " + outcome.name() + cause(events);
		};
	}

	private static String configuration(Event outcome) {
		return (outcome.fields().containsKey("config_age_ms")) ? ", by configuration " + outcome.field("config_version")
				+ " in force for " + outcome.field("config_age_ms") + " ms" : "";
	}

	// The cause of the outcome is the last logged event that reports a failure.
	private static String cause(List<Event> events) {
		String cause = "";
		for (Event event : events) {
			cause = switch (event.name()) {
				case "not_admitted" -> "; cause: its stages would have taken " + event.field("stages_ms")
						+ " ms, its objective is " + event.field("objective_ms") + " ms";
				case "piece_expired" -> "; cause: stage " + event.field("stage") + " at service "
						+ event.field("service") + " had " + event.field("waiting") + " work items waiting for "
						+ event.field("endpoints") + " endpoints";
				case "piece_failed" -> "; cause: endpoint " + event.field("endpoint") + " failed a work item of stage "
						+ event.field("stage") + " (" + event.field("reason") + ")";
				case "call_failed" -> "; cause: the call to endpoint " + event.field("endpoint") + " failed ("
						+ event.field("failure") + ") after " + event.field("after_ms") + " ms";
				default -> cause;
			};
		}
		return cause;
	}

	private record Event(String source, String line, Map<String, String> fields) {

		private String name() {
			return field("event");
		}

		private String at() {
			return field("at");
		}

		private String field(String key) {
			return this.fields.getOrDefault(key, "?");
		}

	}

}
