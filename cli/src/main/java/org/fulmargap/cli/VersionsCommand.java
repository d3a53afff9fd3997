package org.fulmargap.cli;

import java.time.Instant;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import picocli.CommandLine.Command;

/**
 * Prints the configuration version in force at each entry VM.
 */
@Command(name = "versions", description = { "Prints the configuration version in force at each entry VM.",
		"An entry VM that is not at a given address is reported by a peer; its version may be a second old." })
final class VersionsCommand extends AdminCommand {

	@Override
	ExitCode run(AdminClient client) throws CommandException {
		Map<String, JsonNode> latest = new TreeMap<>();
		CommandException failure = null;
		for (AdminAddress admin : client.admins()) {
			try {
				for (JsonNode member : client.get(admin.url("v1", "members").build(), admin)
					.accepted()
					.path("members")) {
					// An entry VM reports itself as heard at the time of its answer.
					latest.merge(member.path("vm").asText(), member,
							(left, right) -> (heardAtMs(right) > heardAtMs(left)) ? right : left);
				}
			}
			catch (CommandException ex) {
				failure = ex;
				warn(ex.getMessage());
			}
		}
		if (latest.isEmpty() && failure != null) {
			throw failure;
		}
		latest.forEach((vm, member) -> out().println("vm=" + KeyValueLine.quote(vm) + " version="
				+ member.path("config_version").asLong() + " alive=" + member.path("alive").asBoolean() + " joined="
				+ member.path("joined").asBoolean() + " last_heard_at=" + Instant.ofEpochMilli(heardAtMs(member))));
		return ExitCode.DONE;
	}

	private static long heardAtMs(JsonNode member) {
		return member.path("last_heard_at_ms").asLong();
	}

}
