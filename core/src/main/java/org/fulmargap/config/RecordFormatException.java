package org.fulmargap.config;

import com.fasterxml.jackson.core.JsonProcessingException;

/**
 * Thrown if JSON is well formed but is not a valid record or document.
 */
public class RecordFormatException extends JsonProcessingException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message what is wrong with the value
	 */
	public RecordFormatException(String message) {
		super(message);
	}

}
