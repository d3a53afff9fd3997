package org.fulmargap.cli;

import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import picocli.CommandLine.Command;

/**
 * Prints the configuration version in force at each entry VM.
 */
@Command(name = "versions", description = { "Prints the configuration version in force at each entry VM.",
		"Versions with source=heartbeat were reported to another entry VM and may be a second old." })
final class VersionsCommand extends AdminCommand {

	@Override
	ExitCode run(AdminClient client) throws CommandException {
		Map<String, String> lines = new TreeMap<>();
		Map<String, String> reported = new TreeMap<>();
		CommandException failure = null;
		for (AdminAddress admin : client.admins()) {
			try {
				JsonNode config = client.get(admin.url("v1", "config").build(), admin).accepted();
				JsonNode members = client.get(admin.url("v1", "members").build(), admin).accepted();
				lines.put(members.path("vm").asText(admin.toString()),
						"version=" + config.path("version").asLong() + " known=" + config.path("known").asBoolean()
								+ " in_doubt=" + config.path("in_doubt").asBoolean() + " source=" + admin);
				for (JsonNode member : members.path("members")) {
					if (member.hasNonNull("config_version") && member.path("alive").asBoolean(true)) {
						reported.putIfAbsent(member.path("vm").asText(),
								"version=" + member.path("config_version").asLong() + " source=heartbeat");
					}
				}
			}
			catch (CommandException ex) {
				failure = ex;
				warn(ex.getMessage());
			}
		}
		if (lines.isEmpty() && failure != null) {
			throw failure;
		}
		reported.forEach(lines::putIfAbsent);
		lines.forEach((vm, line) -> out().println("vm=" + vm + " " + line));
		return ExitCode.DONE;
	}

}
