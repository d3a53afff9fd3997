package org.fulmargap.cli;

/**
 * Exit codes of the command line.
 */
enum ExitCode {

	/** The order was carried out, or the answer was printed. */
	DONE(0),

	/** The system refused the order. */
	REFUSED(1),

	/** The command line is not valid. */
	USAGE(2),

	/** No admin address could be reached, and nothing was sent. */
	NOT_REACHABLE(3),

	/** The order may have taken effect, or not everywhere. */
	OUTCOME_UNKNOWN(4);

	private final int code;

	ExitCode(int code) {
		this.code = code;
	}

	/**
	 * Returns the exit code of the process.
	 * @return a number from 0 to 4
	 */
	int code() {
		return this.code;
	}

}
