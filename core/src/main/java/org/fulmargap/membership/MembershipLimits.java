package org.fulmargap.membership;

/**
 * Time limits of failure detection.
 *
 * @param aliveForMs how long a peer is considered alive after its last message, in
 * milliseconds
 * @param isolatedAfterMs the time without contact after which this VM is considered
 * isolated, in milliseconds
 * @param evictAfterMs the time without a message after which a member may be evicted, in
 * milliseconds
 */
public record MembershipLimits(long aliveForMs, long isolatedAfterMs, long evictAfterMs) {

	/** The default limits, as specified in the design. */
	public static final MembershipLimits DEFAULTS = new MembershipLimits(2_000, 4_000, 10_000);

	/**
	 * Checks the components.
	 */
	public MembershipLimits {
		if (aliveForMs <= 0 || isolatedAfterMs < aliveForMs || evictAfterMs < aliveForMs) {
			throw new IllegalArgumentException(
					"limits must be positive, and aliveForMs must be the shortest: " + aliveForMs);
		}
	}

	/**
	 * Returns these limits with another eviction time.
	 * @param newEvictAfterMs the eviction time in milliseconds
	 * @return the changed limits
	 */
	public MembershipLimits withEvictAfterMs(long newEvictAfterMs) {
		return new MembershipLimits(this.aliveForMs, this.isolatedAfterMs, newEvictAfterMs);
	}

}
