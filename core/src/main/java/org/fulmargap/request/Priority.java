package org.fulmargap.request;

/**
 * Priority of a request. Waiting requests of a higher priority are admitted first, across
 * all client accounts.
 */
public enum Priority {

	/** Admitted when no request of a higher priority waits. */
	LOW,

	/** The default. */
	NORMAL,

	/** Admitted first. */
	HIGH;

	/**
	 * Returns the lower of this priority and a bound.
	 * @param bound the highest priority that is allowed
	 * @return this priority, or the bound if that is lower
	 */
	public Priority atMost(Priority bound) {
		return (compareTo(bound) <= 0) ? this : bound;
	}

}
