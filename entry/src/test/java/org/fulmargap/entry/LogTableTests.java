package org.fulmargap.entry;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import org.fulmargap.placement.EndpointDirectory;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks that the events and fields of the log lines in the sources match the table in
 * {@code docs/logs.md}.
 */
class LogTableTests {

	private static final Pattern LINE = Pattern
		.compile("EventLog\\s*\\.(request|state|call)\\((.*?)\\.write(?:Direct|Last)?\\(\\)", Pattern.DOTALL);

	private static final Pattern EVENT = Pattern.compile("\"([a-z_]+)\"");

	private static final Pattern FIELD = Pattern.compile("\\.with\\(\\s*\"([a-z_]+)\"");

	private static final Pattern ROW = Pattern.compile("(?m)^\\| `([a-z_]+)` \\| ([a-z_, ]+) \\|");

	private static final Path ROOT = Path.of(System.getProperty("repository.root"));

	/** The prefix of the events that are named by the change of an endpoint. */
	private static final String ENDPOINT_EVENT = "endpoint_";

	@Test
	void theTableListsEachEventWithItsFields() throws IOException {
		assertThat(documented()).isEqualTo(written());
	}

	private static Map<String, Set<String>> documented() throws IOException {
		Map<String, Set<String>> rows = new TreeMap<>();
		Matcher row = ROW.matcher(Files.readString(ROOT.resolve("docs/logs.md")));
		while (row.find()) {
			rows.put(row.group(1), new TreeSet<>(Set.of(row.group(2).split(", "))));
		}
		return rows;
	}

	private static Map<String, Set<String>> written() throws IOException {
		Map<String, Set<String>> lines = new TreeMap<>();
		try (Stream<Path> files = Files.walk(ROOT.resolve("entry/src/main/java"))) {
			for (Path file : files.filter((path) -> path.toString().endsWith(".java")).toList()) {
				addLines(Files.readString(file), lines);
			}
		}
		return lines;
	}

	private static void addLines(String source, Map<String, Set<String>> lines) {
		Matcher line = LINE.matcher(source);
		while (line.find()) {
			Set<String> fields = new TreeSet<>();
			FIELD.matcher(line.group(2)).results().forEach((field) -> fields.add(field.group(1)));
			if (line.group(1).equals("request")) {
				fields.add("request");
			}
			int firstField = line.group(2).indexOf(".with(");
			Matcher event = EVENT.matcher(line.group(2).substring(0, Math.max(0, firstField)));
			while (event.find()) {
				names(event.group(1)).forEach((name) -> lines.merge(name, fields, LogTableTests::union));
			}
		}
	}

	private static Set<String> names(String event) {
		if (!event.equals(ENDPOINT_EVENT)) {
			return Set.of(event);
		}
		Set<String> names = new TreeSet<>();
		for (EndpointDirectory.Change change : EndpointDirectory.Change.values()) {
			if (change.affectsWork()) {
				names.add(ENDPOINT_EVENT + change.name().toLowerCase(Locale.ROOT));
			}
		}
		return names;
	}

	private static Set<String> union(Set<String> one, Set<String> other) {
		Set<String> all = new TreeSet<>(one);
		all.addAll(other);
		return all;
	}

}
