package org.fulmargap.placement;

/**
 * What a process of an endpoint announced about itself in its answers. It also holds for
 * earlier processes of the endpoint, whose records may still arrive.
 *
 * @param startedAtMs when the process started, in milliseconds since the epoch
 * @param leaving whether it said that it is leaving
 * @param restUntilMs the time until which it wants no work of this VM, in milliseconds
 * @param limit what it said last about the rate that it takes from all VMs
 * @param brittleness what it said last about the rejections that it survives
 */
record EndpointNotice(long startedAtMs, boolean leaving, long restUntilMs, NamedLimit limit, Brittleness brittleness) {

	/** Nothing was announced. */
	static final EndpointNotice NONE = ofProcess(Long.MIN_VALUE);

	private static EndpointNotice ofProcess(long startedAtMs) {
		return new EndpointNotice(startedAtMs, false, Long.MIN_VALUE, NamedLimit.NONE, Brittleness.NONE);
	}

	static EndpointNotice leaving(long startedAtMs) {
		return new EndpointNotice(startedAtMs, true, Long.MIN_VALUE, NamedLimit.NONE, Brittleness.NONE);
	}

	static EndpointNotice resting(long startedAtMs, long restUntilMs) {
		return new EndpointNotice(startedAtMs, false, restUntilMs, NamedLimit.NONE, Brittleness.NONE);
	}

	static EndpointNotice limited(long startedAtMs, NamedLimit limit) {
		return new EndpointNotice(startedAtMs, false, Long.MIN_VALUE, limit, Brittleness.NONE);
	}

	static EndpointNotice brittle(long startedAtMs, Brittleness brittleness) {
		return new EndpointNotice(startedAtMs, false, Long.MIN_VALUE, NamedLimit.NONE, brittleness);
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
		return new EndpointNotice(this.startedAtMs, this.leaving || other.leaving,
				Math.max(this.restUntilMs, other.restUntilMs), this.limit.newest(other.limit),
				this.brittleness.newest(other.brittleness));
	}

	/**
	 * Counts a suspension as part of the rest.
	 * @param suspendedMs how long the clock of this VM stood still, in milliseconds
	 * @return the notice with an earlier end of the rest
	 */
	EndpointNotice afterSuspension(long suspendedMs) {
		boolean rested = this.restUntilMs != Long.MIN_VALUE;
		return (rested) ? new EndpointNotice(this.startedAtMs, this.leaving, this.restUntilMs - suspendedMs, this.limit,
				this.brittleness) : this;
	}

	boolean isLeaving(EndpointRecord record) {
		return this.leaving && appliesTo(record);
	}

	boolean isResting(EndpointRecord record, long nowMs) {
		return nowMs < this.restUntilMs && appliesTo(record);
	}

	boolean isLimited(EndpointRecord record) {
		return this.limit.isInForce() && appliesTo(record);
	}

	boolean isBrittle(EndpointRecord record) {
		return this.brittleness.isInForce() && appliesTo(record);
	}

	boolean appliesTo(EndpointRecord record) {
		return record.startedAtMs() <= this.startedAtMs;
	}

}
