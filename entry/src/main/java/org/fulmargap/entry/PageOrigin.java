package org.fulmargap.entry;

/**
 * Where a page of records came from, for the log.
 *
 * @param source {@link #STORE}, or the name of the peer that relayed the page
 * @param records the number of records of the page, those that are known already included
 * @param readMs how long the read of the store took, in milliseconds; -1 for a relayed
 * page
 * @param previousReadAgeMs how long before the arrival the previous read of the topic
 * began, in milliseconds; -1 for a relayed page and for the first read
 * @param arrivedAtMs when the page arrived, in milliseconds
 */
record PageOrigin(String source, int records, long readMs, long previousReadAgeMs, long arrivedAtMs) {

	/** The source of pages that this VM read from the store itself. */
	static final String STORE = "store";

	/**
	 * Creates the origin of a page that a peer relayed.
	 * @param peer the name of the peer
	 * @param records the number of records of the page
	 * @param nowMs the current time in milliseconds
	 * @return the origin
	 */
	static PageOrigin relayed(String peer, int records, long nowMs) {
		return new PageOrigin(peer, records, -1, -1, nowMs);
	}

	/**
	 * Returns how long the page has waited for the event loop.
	 * @param nowMs the current time in milliseconds
	 * @return the time in milliseconds
	 */
	long queuedMs(long nowMs) {
		return nowMs - this.arrivedAtMs;
	}

}
