package org.fulmargap.entry.caller;

/**
 * Handles events of a caller while its request is in flight.
 */
public interface CallerListener {

	/**
	 * Handles the loss of the connection before the request is answered.
	 */
	void callerLeft();

}
