package org.fulmargap.placement;

/**
 * The load that an endpoint stated, with the time of its response.
 *
 * @param load the load
 * @param receivedAtMs when the head of the response was read, in milliseconds
 */
public record AgedLoadNotice(EndpointLoadNotice load, long receivedAtMs) {

	/**
	 * Returns the age of the notice.
	 * @param nowMs the current time in milliseconds
	 * @return the age in milliseconds
	 */
	public long ageMs(long nowMs) {
		return Math.max(0, nowMs - this.receivedAtMs);
	}

}
