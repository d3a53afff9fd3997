package org.fulmargap.cli;

import picocli.CommandLine.Command;

/**
 * Takes a failure domain or an endpoint out of service.
 */
@Command(name = "take-out",
		description = { "Takes a failure domain or an endpoint out of service and prints which entry VMs confirmed.",
				"Exit code 4 means that the order is known to be in force only at the VMs listed as confirmed." })
final class TakeOutCommand extends OrderCommand {

	@Override
	String state() {
		return "OUT";
	}

}
