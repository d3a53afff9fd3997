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
 * Tells the story of one request from the logs of entry VMs.
 */
@Command(name = "explain", description = "Tells the story of one request from the logs of entry VMs: its end first, "
		+ "then all lines in the order of time.")
final class ExplainCommand implements Callable<Integer> {

	@Parameters(index = "0", paramLabel = "ID", description = "Identity of the attempt, as the caller sent it.")
	private String requestId;

	@Parameters(index = "1..*", paramLabel = "FILE",
			description = "Log files of entry VMs; without any, standard input is read.")
	private List<Path> files = new ArrayList<>();

	@Spec
	private CommandSpec spec;

	@Override
	public Integer call() throws CommandException {
		List<Event> events = events();
		if (events.isEmpty()) {
			throw new CommandException(ExitCode.REFUSED, "no line of request " + this.requestId + " was found; lines "
					+ "about requests are the first to be dropped when a VM logs more than it can write");
		}
		events.sort(Comparator.comparing(Event::at));
		PrintWriter out = this.spec.commandLine().getOut();
		out.println(conclusion(events));
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
			throw new CommandException(ExitCode.USAGE, "a log can't be read: " + ex);
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

	private static String conclusion(List<Event> events) {
		Event last = events.get(events.size() - 1);
		for (Event event : events) {
			if (List.of("answered", "refused", "caller_left").contains(event.name())) {
				last = event;
			}
		}
		return switch (last.name()) {
			case "answered" -> "answered with status " + last.field("status") + " after " + last.field("age_ms")
					+ " ms, " + last.field("runs") + " run(s)";
			case "refused" -> "refused as " + last.field("reason") + " after " + last.field("age_ms") + " ms, "
					+ last.field("runs") + " run(s)" + cause(events);
			case "caller_left" -> "the caller left after " + last.field("age_ms") + " ms" + cause(events);
			default -> "no end was logged; the last event is " + last.name() + cause(events);
		};
	}

	// The decision that led to the end is the last one that tells of a failure.
	private static String cause(List<Event> events) {
		String cause = "";
		for (Event event : events) {
			cause = switch (event.name()) {
				case "not_admitted" -> "; cause: its stages would have taken " + event.field("stages_ms")
						+ " ms, its objective is " + event.field("objective_ms") + " ms";
				case "piece_expired" ->
					"; cause: stage " + event.field("stage") + " at service " + event.field("service") + " had "
							+ event.field("waiting") + " pieces waiting for " + event.field("endpoints") + " endpoints";
				case "piece_failed" -> "; cause: endpoint " + event.field("endpoint") + " failed a piece of stage "
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
