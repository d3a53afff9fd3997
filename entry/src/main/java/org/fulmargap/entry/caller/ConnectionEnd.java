package org.fulmargap.entry.caller;

import org.fulmargap.entry.EventLog;

/**
 * Why a caller's connection ended. The first reason counts. Confined to the event loop.
 */
final class ConnectionEnd {

	private CloseReason reason = CloseReason.CALLER;

	private String cause = "none";

	/**
	 * Records why this VM closes the connection.
	 * @param newReason the reason
	 */
	void because(CloseReason newReason) {
		if (this.reason == CloseReason.CALLER) {
			this.reason = newReason;
		}
	}

	/**
	 * Records that the connection is closed because of an error.
	 * @param error the error
	 */
	void because(Throwable error) {
		if (this.reason == CloseReason.CALLER) {
			this.reason = CloseReason.ERROR;
			this.cause = error.toString();
		}
	}

	/**
	 * Logs the end of a connection with a request that has no whole answer.
	 * @param open the oldest such request
	 * @param progress how far it has come
	 * @param pipelined the number of pipelined requests that wait
	 * @param nowMs the current time in milliseconds
	 */
	void log(OpenRequest open, OpenRequest.Progress progress, int pipelined, long nowMs) {
		EventLog.request("caller_closed", open.id())
			.with("reason", this.reason)
			.with("cause", this.cause)
			.with("progress", progress)
			.with("age_ms", nowMs - open.sinceMs())
			.with("pipelined", pipelined)
			.write();
	}

}
