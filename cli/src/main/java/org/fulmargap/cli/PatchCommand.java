package org.fulmargap.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.UUID;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Applies a patch to the configuration.
 */
@Command(name = "patch", description = "Applies a JSON Merge Patch (RFC 7396) to the configuration.")
final class PatchCommand extends AdminCommand {

	@Option(names = "--expected-version", required = true, paramLabel = "N",
			description = "Configuration version that the patch applies to.")
	private long expectedVersion;

	@Option(names = "--file", required = true, paramLabel = "FILE", description = "File with the merge patch.")
	private Path file;

	@Option(names = "--patch-id", paramLabel = "ID",
			description = "Id of the patch (default: a random UUID). Use a new id for each patch.")
	private String patchId = UUID.randomUUID().toString();

	@Override
	ExitCode run(AdminClient client) throws CommandException {
		ObjectNode body = AdminClient.MAPPER.createObjectNode();
		body.put("patch_id", this.patchId).put("expected_version", this.expectedVersion);
		body.set("merge_patch", readPatch());
		AdminResponse response;
		try {
			response = client.send("POST", body, "v1", "config", "patches");
		}
		catch (CommandException ex) {
			throw (ex.exitCode() == ExitCode.OUTCOME_UNKNOWN)
					? new CommandException(ExitCode.OUTCOME_UNKNOWN, ex.getMessage() + " patch_id=" + this.patchId, ex)
					: ex;
		}
		JsonNode decision = response.body();
		if (decision.path("accepted").asBoolean(false)) {
			out().println("accepted version=" + decision.path("version").asLong() + " patch_id=" + this.patchId);
			return ExitCode.DONE;
		}
		String refusal = decision.path("refusal").asText("");
		if (refusal.isEmpty()) {
			response.successBody();
			throw new CommandException(ExitCode.OUTCOME_UNKNOWN,
					"outcome unknown: " + response.address() + " returned no decision; patch_id=" + this.patchId);
		}
		boolean outcomeUnknown = refusal.equals("DECISION_UNKNOWN");
		throw new CommandException(outcomeUnknown ? ExitCode.OUTCOME_UNKNOWN : ExitCode.REFUSED,
				(outcomeUnknown ? "outcome unknown: " : "refused: ") + refusal + " version="
						+ decision.path("version").asLong() + " patch_id=" + this.patchId + ": "
						+ decision.path("message").asText());
	}

	private JsonNode readPatch() {
		try {
			JsonNode patch = AdminClient.MAPPER.readTree(Files.readString(this.file));
			if (!patch.isObject()) {
				throw usageError("file " + this.file + " must contain a JSON object");
			}
			return patch;
		}
		catch (JsonProcessingException ex) {
			throw usageError("file " + this.file + " is not valid JSON: line " + ex.getLocation().getLineNr()
					+ ", column " + ex.getLocation().getColumnNr());
		}
		catch (IOException ex) {
			throw usageError("file " + this.file + " cannot be read");
		}
	}

}
