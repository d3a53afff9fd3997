package org.fulmargap.request;

/**
 * Priority of a request. Higher priorities are served first within the share of a client
 * account.
 */
public enum Priority {

	/** Served when nothing of a higher priority waits. */
	LOW,

	/** The default. */
	NORMAL,

	/** Served first. */
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
