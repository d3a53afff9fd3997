package org.fulmargap.admission;

/**
 * Decides when a request may start. Implementations are safe for use by several threads
 * and do no I/O.
 */
public interface AdmissionController {

	/**
	 * Requests a slot. The listener is called exactly once, during this call or a later
	 * call of any method of the controller or of a permit, and without a lock held.
	 * @param request the request
	 * @param nowMs the current time in milliseconds since the epoch
	 * @param listener receives the decision
	 */
	void admit(AdmissionRequest request, long nowMs, AdmissionListener listener);

	/**
	 * Refuses waiting requests that can no longer meet their deadline. Must be called a
	 * few times a second.
	 * @param nowMs the current time in milliseconds since the epoch
	 */
	void expire(long nowMs);

	/**
	 * Changes the number of slots.
	 * @param slots the number of requests that may run at the same time, at least one
	 * @param nowMs the current time in milliseconds since the epoch
	 */
	void setSlots(int slots, long nowMs);

}
