package org.fulmargap.placement;

/**
 * What a process of an endpoint said last about the rejections that it survives.
 *
 * @param rejectionsPerSecond the rejections in a second after which one more makes it
 * fail, or {@link #STURDY} if it names none
 * @param observedAtMs when an answer said so, in milliseconds
 */
public record Brittleness(int rejectionsPerSecond, long observedAtMs) {

	/** The number of an endpoint that names none. */
	public static final int STURDY = -1;

	/** Nothing was said. */
	static final Brittleness NONE = new Brittleness(STURDY, Long.MIN_VALUE);

	/**
	 * Creates an observation.
	 * @throws IllegalArgumentException if the number is less than {@link #STURDY}
	 */
	public Brittleness {
		if (rejectionsPerSecond < STURDY) {
			throw new IllegalArgumentException("invalid number of rejections: " + rejectionsPerSecond);
		}
	}

	boolean isInForce() {
		return this.rejectionsPerSecond != STURDY;
	}

	/**
	 * Returns the newer of two observations of one process.
	 * @param other the other observation
	 * @return the newer one; this one if both are of the same time
	 */
	public Brittleness newest(Brittleness other) {
		return (other.observedAtMs > this.observedAtMs) ? other : this;
	}

}
