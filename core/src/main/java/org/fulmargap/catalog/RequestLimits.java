package org.fulmargap.catalog;

/**
 * Limits on the requests of callers.
 *
 * @param maxHeaderBytes the highest size of a request head in bytes
 * @param maxBodyBytes the highest size of a request body in bytes
 * @param headerTimeoutMs the longest time to receive a request head, in milliseconds
 * @param idleTimeoutMs how long a connection may be idle, in milliseconds
 */
public record RequestLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {

	/** The limits if the configuration states none or isn't known yet. */
	public static final RequestLimits DEFAULT = new RequestLimits(16_384, 4_194_304, 3_000, 15_000);

}
