package org.fulmargap.entry;

import java.util.Map;

import org.fulmargap.platform.standin.CallerWire;

/**
 * What a caller received for one request.
 *
 * @param status the HTTP status, or 0 without a whole head
 * @param headers the headers with names in lower case; values of equal names are joined
 * @param body the body, or what was received of it
 * @param end how the answer ended
 * @param afterMs the time from the request to the end, in milliseconds
 * @param detail what else is known about the end, or an empty string
 */
record ReceivedAnswer(int status, Map<String, String> headers, String body, End end, long afterMs, String detail) {

	private static final int MAX_SHOWN = 120;

	boolean isSuccess() {
		return this.status >= 200 && this.status < 300;
	}

	boolean isComplete() {
		return this.end == End.COMPLETE;
	}

	/**
	 * Returns whether the status promises that the request has not run and never will.
	 */
	boolean promisesNoRun() {
		return this.status == 408 || this.status == 421 || this.status == 429 || this.status == 503;
	}

	boolean keepsConnection() {
		return isComplete() && this.headers.containsKey("content-length") != isChunked()
				&& !this.headers.getOrDefault("connection", "").equalsIgnoreCase("close");
	}

	private boolean isChunked() {
		return this.headers.containsKey("transfer-encoding");
	}

	String signature() {
		return this.headers.getOrDefault(CallerWire.SIGNATURE.toLowerCase(java.util.Locale.ROOT), "");
	}

	String attemptId() {
		return this.headers.getOrDefault(CallerWire.ATTEMPT_ID.toLowerCase(java.util.Locale.ROOT), "");
	}

	@Override
	public String toString() {
		String shown = (this.body.length() > MAX_SHOWN) ? this.body.substring(0, MAX_SHOWN) + "..." : this.body;
		return this.status + " " + this.headers + " with " + this.body.length() + " bytes of body '" + shown + "', "
				+ this.end + ((this.detail.isEmpty()) ? "" : " (" + this.detail + ")") + " after " + this.afterMs
				+ " ms";
	}

	/**
	 * How an answer ended.
	 */
	enum End {

		/** The framing of the answer says that it is whole. */
		COMPLETE,

		/** The connection ended before the answer did. */
		CLOSED,

		/** Nothing more came in time. */
		SILENT,

		/** The bytes are no answer in HTTP. */
		MALFORMED

	}

}
