package org.fulmargap.cli;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Prints where a request went.
 */
@Command(name = "explain-request",
		description = "Prints where a request went: one row per attempt with stage, endpoint, duration and result.")
final class ExplainRequestCommand extends AdminCommand {

	private static final String ROW = "%-16s %-20s %7s %12s  %s%n";

	@Parameters(paramLabel = "ID", description = "Request id from an answer.")
	private String requestId;

	@Option(names = "--log-file", paramLabel = "FILE", description = "Log file of an entry VM; may be repeated.")
	private List<Path> logFiles = new ArrayList<>();

	@Override
	boolean needsAdmin() {
		return this.logFiles.isEmpty();
	}

	@Override
	ExitCode run(AdminClient client) throws CommandException {
		List<TimelineLine> lines = new TimelineSources(client, this.logFiles, this::warn).find("request_id",
				this.requestId);
		if (lines.isEmpty()) {
			throw new CommandException(ExitCode.REFUSED, "no events of request " + this.requestId
					+ " were found; the entry VM that received it keeps recent events only");
		}
		out().printf(ROW, "STAGE", "ENDPOINT", "ATTEMPT", "DURATION_MS", "RESULT");
		for (Attempt attempt : attempts(lines).values()) {
			out().printf(ROW, attempt.stage, attempt.endpoint, attempt.number,
					(attempt.durationMs >= 0) ? String.valueOf(attempt.durationMs) : "-", attempt.result);
		}
		for (TimelineLine line : lines) {
			switch (line.event()) {
				case "REQUEST_ANSWERED" -> out().println(
						"answered by " + line.vm() + " after " + line.fields().getOrDefault("total_ms", "?") + " ms");
				case "REQUEST_FAILED" -> out().println(
						"failed at " + line.vm() + " after " + line.fields().getOrDefault("total_ms", "?") + " ms: "
								+ line.fields().get("type") + " (" + line.fields().getOrDefault("reason", "") + ")");
				default -> {
				}
			}
		}
		return ExitCode.DONE;
	}

	private static Map<String, Attempt> attempts(List<TimelineLine> lines) {
		Map<String, Attempt> attempts = new LinkedHashMap<>();
		for (TimelineLine line : lines) {
			if (!line.event().startsWith("STAGE_")) {
				continue;
			}
			String stage = line.fields().getOrDefault("stage", "?");
			String number = line.fields().getOrDefault("attempt", "?");
			// Attempt ids end with the number of the attempt at the stage.
			String shown = number.substring(number.lastIndexOf('/') + 1);
			Attempt attempt = attempts.computeIfAbsent(line.vm() + "/" + stage + "/" + number,
					(key) -> new Attempt(stage, line.fields().getOrDefault("endpoint", "?"), shown, line.atMs()));
			if (line.event().equals("STAGE_ANSWERED")) {
				attempt.end(line, "answered");
			}
			else if (line.event().equals("STAGE_FAILED")) {
				attempt.end(line, "failed: " + line.fields().getOrDefault("failure", "?") + " "
						+ line.fields().getOrDefault("dispatch_state", ""));
			}
		}
		return attempts;
	}

	private static final class Attempt {

		private final String stage;

		private final String endpoint;

		private final String number;

		private final long startedAtMs;

		private long durationMs = -1;

		private String result = "no end recorded";

		private Attempt(String stage, String endpoint, String number, long startedAtMs) {
			this.stage = stage;
			this.endpoint = endpoint;
			this.number = number;
			this.startedAtMs = startedAtMs;
		}

		private void end(TimelineLine line, String newResult) {
			String stated = line.fields().get("duration_ms");
			this.durationMs = (stated != null && stated.matches("\\d{1,18}")) ? Long.parseLong(stated)
					: line.atMs() - this.startedAtMs;
			this.result = newResult.strip();
		}

	}

}
