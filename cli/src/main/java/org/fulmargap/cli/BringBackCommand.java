package org.fulmargap.cli;

import picocli.CommandLine.Command;

/**
 * Returns a failure domain or an endpoint to service.
 */
@Command(name = "bring-back",
		description = { "Returns a failure domain or an endpoint to service and prints which entry VMs confirmed.",
				"Exit code 4 means that the order is known to be in force only at the VMs listed as confirmed." })
final class BringBackCommand extends OrderCommand {

	@Override
	String state() {
		return "IN";
	}

}
