package org.fulmargap.entry.caller;

import io.netty.handler.codec.http.HttpRequest;
import org.fulmargap.platform.CallerHeaders;

/**
 * A request of a caller that has no whole answer yet.
 *
 * @param head the head of the request
 * @param sinceMs when its head was read, in milliseconds
 * @param unreadMs how long it may have lain unread before, in milliseconds
 * @param body the memory that its body holds
 */
record OpenRequest(HttpRequest head, long sinceMs, long unreadMs, RequestMemory.Share body) {

	/**
	 * Returns the id of the caller's attempt.
	 * @return the id, or an empty string
	 */
	String id() {
		return CallerHeaders.decode((name) -> this.head.headers().get(name)).attemptId();
	}

	/**
	 * Releases the memory of its body. Further calls change nothing.
	 */
	void end() {
		this.body.close();
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
