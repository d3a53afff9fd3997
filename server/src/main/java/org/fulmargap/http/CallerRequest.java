package org.fulmargap.http;

import java.io.IOException;
import java.io.InputStream;
import java.util.Optional;

/**
 * The HTTP request of a caller, independent of the HTTP library.
 */
interface CallerRequest {

	/**
	 * Returns a request header.
	 * @param name the name of the header
	 * @return the value, or empty if the header is missing
	 */
	Optional<String> header(String name);

	/**
	 * Returns the name of the pipeline in the path.
	 * @return the name
	 */
	String pipeline();

	/**
	 * Returns the length of the body that the caller declared.
	 * @return the length in bytes, negative if it was not declared
	 */
	long contentLength();

	/**
	 * Opens the body.
	 * @return a stream of the body
	 * @throws IOException if the body cannot be read
	 */
	InputStream body() throws IOException;

}
