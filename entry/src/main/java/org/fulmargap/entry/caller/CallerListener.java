package org.fulmargap.entry.caller;

/**
 * Handles events of a caller while its request is in flight.
 */
public interface CallerListener {

	/**
	 * Handles the loss of the connection before the request is answered.
	 */
	void callerLeft();

	/**
	 * Handles that the caller's connection takes no more bytes for now, or takes them
	 * again. What is written meanwhile is kept in memory.
	 * @param writable whether it takes bytes
	 */
	void writabilityChanged(boolean writable);

}
