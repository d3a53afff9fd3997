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
		"An entry VM whose address is not given is reported by a peer; its version may be a second old." })
final class VersionsCommand extends AdminCommand {

	@Override
	ExitCode run(AdminClient client) throws CommandException {
		Map<String, JsonNode> latest = new TreeMap<>();
		CommandException failure = null;
		for (AdminAddress address : client.addresses()) {
			try {
				for (JsonNode member : client.get(address.url("v1", "members").build(), address)
					.successBody()
					.path("members")) {
					// Keeps the newest report; an entry VM gives the time of its response
					// as its own last_heard_at_ms.
					latest.merge(member.path("vm").asText(), member,
							(left, right) -> (lastContactMs(right) > lastContactMs(left)) ? right : left);
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
				+ member.path("joined").asBoolean() + " last_heard_at=" + Instant.ofEpochMilli(lastContactMs(member))));
		return ExitCode.DONE;
	}

	private static long lastContactMs(JsonNode member) {
		return member.path("last_heard_at_ms").asLong();
	}

}
