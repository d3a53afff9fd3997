package org.fulmargap.entry.caller;

import io.netty.handler.codec.http.HttpHeaders;
import org.fulmargap.platform.CallerHeaders;

/**
 * A request of a caller that has no whole answer yet.
 *
 * @param headers the headers of the request
 * @param sinceMs when its head was read, in milliseconds
 */
record OpenRequest(HttpHeaders headers, long sinceMs) {

	/**
	 * Returns the id of the caller's attempt.
	 * @return the id, or an empty string
	 */
	String id() {
		return CallerHeaders.decode((name) -> this.headers.get(name)).attemptId();
	}

	/**
	 * How far a request has come.
	 */
	enum Progress {

		/** Its body is not whole. */
		RECEIVING,

		/** It waits for the answer before it, or was dropped after the last answer. */
		READ,

		/** It has no answer. */
		RUNNING,

		/** Its answer has begun and is not written whole. */
		ANSWERING

	}

}
