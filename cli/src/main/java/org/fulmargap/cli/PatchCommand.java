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
 * Changes the configuration.
 */
@Command(name = "patch", description = "Applies a JSON Merge Patch (RFC 7396) to the configuration.")
final class PatchCommand extends AdminCommand {

	@Option(names = "--expected-version", required = true, paramLabel = "N",
			description = "Version that the patch applies to.")
	private long expectedVersion;

	@Option(names = "--file", required = true, paramLabel = "FILE", description = "File with the merge patch.")
	private Path file;

	@Option(names = "--patch-id", paramLabel = "ID",
			description = "Identity of the patch (default: a random one). Use a new one for each patch.")
	private String patchId = UUID.randomUUID().toString();

	@Override
	ExitCode run(AdminClient client) throws CommandException {
		ObjectNode body = AdminClient.MAPPER.createObjectNode();
		body.put("patch_id", this.patchId).put("expected_version", this.expectedVersion);
		body.set("merge_patch", readPatch());
		AdminReply reply;
		try {
			reply = client.send("POST", body, "v1", "config", "patches");
		}
		catch (CommandException ex) {
			throw (ex.exitCode() == ExitCode.OUTCOME_UNKNOWN)
					? new CommandException(ExitCode.OUTCOME_UNKNOWN, ex.getMessage() + " patch_id=" + this.patchId, ex)
					: ex;
		}
		JsonNode decision = reply.body();
		if (decision.path("accepted").asBoolean(false)) {
			out().println("accepted version=" + decision.path("version").asLong() + " patch_id=" + this.patchId);
			return ExitCode.DONE;
		}
		String refusal = decision.path("refusal").asText("");
		if (refusal.isEmpty()) {
			reply.accepted();
			throw new CommandException(ExitCode.OUTCOME_UNKNOWN,
					"outcome unknown: " + reply.admin() + " did not state a decision; patch_id=" + this.patchId);
		}
		boolean unknown = refusal.equals("DECISION_UNKNOWN");
		throw new CommandException(unknown ? ExitCode.OUTCOME_UNKNOWN : ExitCode.REFUSED,
				(unknown ? "outcome unknown: " : "refused: ") + refusal + " version="
						+ decision.path("version").asLong() + " patch_id=" + this.patchId + ": "
						+ decision.path("message").asText());
	}

	private JsonNode readPatch() {
		try {
			JsonNode patch = AdminClient.MAPPER.readTree(Files.readString(this.file));
			if (!patch.isObject()) {
				throw usage("file " + this.file + " must contain a JSON object");
			}
			return patch;
		}
		catch (JsonProcessingException ex) {
			throw usage("file " + this.file + " is not valid JSON: line " + ex.getLocation().getLineNr() + ", column "
					+ ex.getLocation().getColumnNr());
		}
		catch (IOException ex) {
			throw usage("file " + this.file + " cannot be read");
		}
	}

}
