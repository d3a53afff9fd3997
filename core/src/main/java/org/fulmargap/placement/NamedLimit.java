package org.fulmargap.placement;

/**
 * What a process of an endpoint said last about the rate of requests that it takes from
 * all entry VMs together.
 *
 * @param perSecond the requests per second, or {@link #UNLIMITED} if it names no rate
 * @param observedAtMs when an answer said so, in milliseconds
 */
public record NamedLimit(double perSecond, long observedAtMs) {

	/** The rate of an endpoint that names none. */
	public static final double UNLIMITED = Double.POSITIVE_INFINITY;

	/** Nothing was said. */
	static final NamedLimit NONE = new NamedLimit(UNLIMITED, Long.MIN_VALUE);

	/**
	 * Creates an observation.
	 * @throws IllegalArgumentException if the rate is negative or not a number
	 */
	public NamedLimit {
		if (!(perSecond >= 0)) {
			throw new IllegalArgumentException("invalid rate: " + perSecond);
		}
	}

	boolean isInForce() {
		return this.perSecond != UNLIMITED;
	}

	/**
	 * Returns the newer of two observations of one process.
	 * @param other the other observation
	 * @return the newer one; this one if both are of the same time
	 */
	public NamedLimit newest(NamedLimit other) {
		return (other.observedAtMs > this.observedAtMs) ? other : this;
	}

}
