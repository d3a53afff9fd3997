package org.fulmargap.server;

/**
 * Thrown for settings that cannot be used. The message is one line that names the field.
 */
public class SettingsException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message the message in one line
	 * @param cause the cause, or {@code null}
	 */
	public SettingsException(String message, Throwable cause) {
		super(message, cause);
	}

}
