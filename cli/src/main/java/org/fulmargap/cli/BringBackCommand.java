package org.fulmargap.cli;

import picocli.CommandLine.Command;

/**
 * Brings a failure domain or an endpoint back into service.
 */
@Command(name = "bring-back",
		description = { "Brings a failure domain or an endpoint back and prints which entry VMs confirmed.",
				"Exit code 4 means that the order holds at the entry VMs listed as confirmed, not yet at the others." })
final class BringBackCommand extends OrderCommand {

	@Override
	String state() {
		return "IN";
	}

}
