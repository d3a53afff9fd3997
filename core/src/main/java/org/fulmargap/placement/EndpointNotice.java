package org.fulmargap.placement;

/**
 * What a process of an endpoint announced about itself in its answers. It also holds for
 * earlier processes of the endpoint, whose records may still arrive.
 *
 * @param startedAtMs when the process started, in milliseconds since the epoch
 * @param leaving whether it said that it is leaving
 */
record EndpointNotice(long startedAtMs, boolean leaving) {

	/** Nothing was announced. */
	static final EndpointNotice NONE = new EndpointNotice(Long.MIN_VALUE, false);

	static EndpointNotice leaving(long startedAtMs) {
		return new EndpointNotice(startedAtMs, true);
	}

	/**
	 * Adds a notice, of the same or another process of the endpoint.
	 * @param other the other notice
	 * @return the notice of the later process, or both together if it is the same one
	 */
	EndpointNotice plus(EndpointNotice other) {
		if (this.startedAtMs != other.startedAtMs) {
			return (this.startedAtMs > other.startedAtMs) ? this : other;
		}
		return new EndpointNotice(this.startedAtMs, this.leaving || other.leaving);
	}

	boolean isLeaving(EndpointRecord record) {
		return this.leaving && record.startedAtMs() <= this.startedAtMs;
	}

}
