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
 * Collects events from entry VMs and log files.
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
	 * Collects events, sorted by time.
	 * @param parameter {@code request_id} or {@code config_version}
	 * @param value the value that events must have
	 * @return the events without copies
	 * @throws CommandException if no source could be read
	 */
	List<TimelineLine> find(String parameter, String value) throws CommandException {
		List<TimelineLine> lines = new ArrayList<>();
		CommandException failure = null;
		int sources = 0;
		for (AdminAddress admin : this.client.admins()) {
			try {
				for (JsonNode event : this.client
					.get(admin.url("v1", "timeline").addQueryParameter(parameter, value).build(), admin)
					.accepted()
					.path("events")) {
					lines.add(TimelineLine.of(event));
				}
				sources++;
			}
			catch (CommandException ex) {
				failure = ex;
				this.warnings.accept(ex.getMessage() + "; its events are missing");
			}
		}
		Predicate<TimelineLine> wanted = (line) -> value
			.equals(parameter.equals("request_id") ? line.requestId() : line.configVersion());
		for (Path file : this.logFiles) {
			try (Stream<String> text = Files.lines(file, StandardCharsets.ISO_8859_1)) {
				// A byte that is not valid UTF-8 in one line must not hide the rest of
				// the file.
				text.map((line) -> new String(line.getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8))
					.flatMap((line) -> TimelineLine.parse(line).stream())
					.filter(wanted)
					.filter((line) -> lines.stream().noneMatch(line::isCopyOf))
					.toList()
					.forEach(lines::add);
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
		lines.sort(Comparator.comparingLong(TimelineLine::atMs));
		return lines;
	}

}
