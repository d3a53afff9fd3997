package org.fulmargap.cli;

/**
 * Exit codes of the command line.
 */
enum ExitCode {

	/** The command succeeded. */
	DONE(0),

	/** The command was refused, did not find the request or failed unexpectedly. */
	REFUSED(1),

	/** The command line is invalid, or a file that it names cannot be read. */
	USAGE(2),

	/** No admin address responded, and no state-changing request was sent. */
	NOT_REACHABLE(3),

	/** The outcome is unknown, or some entry VMs did not confirm the order. */
	OUTCOME_UNKNOWN(4);

	private final int code;

	ExitCode(int code) {
		this.code = code;
	}

	/**
	 * Returns the exit status of the process.
	 * @return the exit status, from 0 to 4
	 */
	int code() {
		return this.code;
	}

}
