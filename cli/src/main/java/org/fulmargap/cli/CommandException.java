package org.fulmargap.cli;

/**
 * Ends a command with an error message of one line and an exit code.
 */
class CommandException extends Exception {

	private static final long serialVersionUID = 1L;

	private final ExitCode exitCode;

	CommandException(ExitCode exitCode, String message) {
		this(exitCode, message, null);
	}

	CommandException(ExitCode exitCode, String message, Throwable cause) {
		super(message, cause);
		this.exitCode = exitCode;
	}

	ExitCode exitCode() {
		return this.exitCode;
	}

}
