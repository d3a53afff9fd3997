package org.fulmargap.catalog;

/**
 * Bounds on what callers may send.
 *
 * @param maxHeaderBytes the longest request head in bytes
 * @param maxBodyBytes the longest request body in bytes
 * @param headerTimeoutMs the longest time for a request head, in milliseconds
 * @param idleTimeoutMs how long a connection may be idle, in milliseconds
 */
public record RequestLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {

	/** The bounds before a configuration is known. */
	public static final RequestLimits DEFAULT = new RequestLimits(16_384, 4_194_304, 3_000, 15_000);

}
