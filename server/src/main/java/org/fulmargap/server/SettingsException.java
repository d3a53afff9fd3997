package org.fulmargap.server;

/**
 * Reports settings that cannot be used, in one line that names the field.
 */
public class SettingsException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the report.
	 * @param message the line
	 * @param cause the cause, or {@code null}
	 */
	public SettingsException(String message, Throwable cause) {
		super(message, cause);
	}

}
