package org.fulmargap.http;

import java.io.IOException;
import java.io.InputStream;
import java.util.Optional;

/**
 * What a caller sent, independent of the HTTP library.
 */
interface CallerInput {

	/**
	 * Returns a request header.
	 * @param name the name of the header
	 * @return the value, or empty if the header is missing
	 */
	Optional<String> header(String name);

	/**
	 * Returns the pipeline that the path names.
	 * @return the name
	 */
	String pipeline();

	/**
	 * Returns the announced length of the body.
	 * @return the length in bytes, negative if it is not announced
	 */
	long contentLength();

	/**
	 * Opens the body.
	 * @return the stream
	 * @throws IOException if the body cannot be read
	 */
	InputStream body() throws IOException;

}
