package org.fulmargap.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Collects timeline events from entry VMs and log files.
 */
final class TimelineSources {

	private final AdminClient client;

	private final List<Path> logFiles;

	private final Consumer<String> warnings;

	TimelineSources(AdminClient client, List<Path> logFiles, Consumer<String> warnings) {
		this.client = client;
		this.logFiles = logFiles;
		this.warnings = warnings;
	}

	/**
	 * Finds events in all sources and sorts them by time. A source that cannot be read
	 * gives a warning.
	 * @param parameter {@code request_id} or {@code config_version}
	 * @param value the value that the events must have
	 * @return the events, without log lines that duplicate an event from another source
	 * @throws CommandException if no source can be read
	 */
	List<TimelineEvent> find(String parameter, String value) throws CommandException {
		List<TimelineEvent> events = new ArrayList<>();
		CommandException failure = null;
		int sources = 0;
		for (AdminAddress address : this.client.addresses()) {
			try {
				for (JsonNode node : this.client
					.get(address.url("v1", "timeline").addQueryParameter(parameter, value).build(), address)
					.successBody()
					.path("events")) {
					events.add(TimelineEvent.of(node));
				}
				sources++;
			}
			catch (CommandException ex) {
				failure = ex;
				this.warnings.accept(ex.getMessage() + "; its events are missing");
			}
		}
		Predicate<TimelineEvent> matches = (event) -> value
			.equals(parameter.equals("request_id") ? event.requestId() : event.configVersion());
		for (Path file : this.logFiles) {
			try (Stream<String> lines = Files.lines(file, StandardCharsets.ISO_8859_1)) {
				// Malformed UTF-8 in one line must not prevent reading the rest of the
				// file.
				lines.map((line) -> new String(line.getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8))
					.flatMap((line) -> TimelineEvent.parse(line).stream())
					.filter(matches)
					.filter((event) -> events.stream().noneMatch(event::isDuplicateOf))
					.toList()
					.forEach(events::add);
				sources++;
			}
			catch (IOException ex) {
				failure = new CommandException(ExitCode.USAGE, "file " + file + " cannot be read", ex);
				this.warnings.accept(failure.getMessage());
			}
		}
		if (sources == 0 && failure != null) {
			throw failure;
		}
		events.sort(Comparator.comparingLong(TimelineEvent::atMs));
		return events;
	}

}
