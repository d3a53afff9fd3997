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
 * Prints the attempts of a request at each stage and its outcome.
 */
@Command(name = "explain-request",
		description = "Prints the attempts of a request, one row each with stage, endpoint, duration and result.")
final class ExplainRequestCommand extends AdminCommand {

	private static final String ROW_FORMAT = "%-16s %-20s %7s %12s  %s%n";

	@Parameters(paramLabel = "ID", description = "Request id from a response.")
	private String requestId;

	@Option(names = "--log-file", paramLabel = "FILE", description = "Log file of an entry VM; may be repeated.")
	private List<Path> logFiles = new ArrayList<>();

	@Override
	boolean requiresAdmin() {
		return this.logFiles.isEmpty();
	}

	@Override
	ExitCode run(AdminClient client) throws CommandException {
		List<TimelineEvent> events = new TimelineSources(client, this.logFiles, this::warn).find("request_id",
				this.requestId);
		if (events.isEmpty()) {
			throw new CommandException(ExitCode.REFUSED, "no events of request " + this.requestId
					+ " were found; the entry VM that received it keeps only recent events");
		}
		out().printf(ROW_FORMAT, "STAGE", "ENDPOINT", "ATTEMPT", "DURATION_MS", "RESULT");
		for (Attempt attempt : attempts(events).values()) {
			out().printf(ROW_FORMAT, attempt.stage, attempt.endpoint, attempt.number,
					(attempt.durationMs >= 0) ? String.valueOf(attempt.durationMs) : "-", attempt.result);
		}
		for (TimelineEvent event : events) {
			switch (event.type()) {
				case "REQUEST_ANSWERED" -> out().println(
						"answered by " + event.vm() + " after " + event.fields().getOrDefault("total_ms", "?") + " ms");
				case "REQUEST_FAILED" -> out().println(
						"failed at " + event.vm() + " after " + event.fields().getOrDefault("total_ms", "?") + " ms: "
								+ event.fields().get("type") + " (" + event.fields().getOrDefault("reason", "") + ")");
				default -> {
				}
			}
		}
		return ExitCode.DONE;
	}

	private static Map<String, Attempt> attempts(List<TimelineEvent> events) {
		Map<String, Attempt> attempts = new LinkedHashMap<>();
		for (TimelineEvent event : events) {
			if (!event.type().startsWith("STAGE_")) {
				continue;
			}
			String stage = event.fields().getOrDefault("stage", "?");
			String attemptId = event.fields().getOrDefault("attempt", "?");
			// An attempt id ends with the number of the attempt within its stage.
			String number = attemptId.substring(attemptId.lastIndexOf('/') + 1);
			Attempt attempt = attempts.computeIfAbsent(event.vm() + "/" + stage + "/" + attemptId,
					(key) -> new Attempt(stage, event.fields().getOrDefault("endpoint", "?"), number, event.atMs()));
			if (event.type().equals("STAGE_ANSWERED")) {
				attempt.complete(event, "answered");
			}
			else if (event.type().equals("STAGE_FAILED")) {
				attempt.complete(event, "failed: " + event.fields().getOrDefault("failure", "?") + " "
						+ event.fields().getOrDefault("dispatch_state", ""));
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

		private String result = "no result recorded";

		private Attempt(String stage, String endpoint, String number, long startedAtMs) {
			this.stage = stage;
			this.endpoint = endpoint;
			this.number = number;
			this.startedAtMs = startedAtMs;
		}

		private void complete(TimelineEvent event, String newResult) {
			String reported = event.fields().get("duration_ms");
			this.durationMs = (reported != null && reported.matches("\\d{1,18}")) ? Long.parseLong(reported)
					: event.atMs() - this.startedAtMs;
			this.result = newResult.strip();
		}

	}

}
