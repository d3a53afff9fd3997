package org.fulmargap.entry.caller;

/**
 * Hears what a caller does while its request is under way.
 */
public interface CallerListener {

	/**
	 * Hears that the caller closed its connection.
	 */
	void callerLeft();

}
