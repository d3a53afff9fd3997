package org.fulmargap.config;

import com.fasterxml.jackson.core.JsonProcessingException;

/**
 * Reports JSON that is well formed but not a record of a stream.
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
