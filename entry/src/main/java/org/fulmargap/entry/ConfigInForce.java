package org.fulmargap.entry;

import org.fulmargap.catalog.Catalog;

/**
 * A configuration and the time from which on it has been in force at this VM.
 *
 * @param catalog the configuration
 * @param sinceMs when it came into force, in milliseconds
 */
public record ConfigInForce(Catalog catalog, long sinceMs) {

	/**
	 * Returns the version of the configuration.
	 * @return the version
	 */
	public long version() {
		return this.catalog.version();
	}

	/**
	 * Returns how long ago the configuration came into force.
	 * @param nowMs the current time in milliseconds
	 * @return the time in milliseconds
	 */
	public long ageMs(long nowMs) {
		return nowMs - this.sinceMs;
	}

}
