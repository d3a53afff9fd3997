package org.fulmargap.admission;

import org.fulmargap.request.FulmargapException;

/**
 * Receives the admission decision for one request.
 */
public interface AdmissionListener {

	/**
	 * Called when the request may start.
	 * @param permit the slot, to be released when the request has ended
	 */
	void admitted(Permit permit);

	/**
	 * Called when the request is refused. It has not run.
	 * @param refusal the typed refusal
	 */
	void refused(FulmargapException refusal);

	/**
	 * A slot held by a running request.
	 */
	interface Permit {

		/**
		 * Releases the slot. Further calls have no effect.
		 * @param nowMs the current time in milliseconds since the epoch
		 */
		void release(long nowMs);

	}

}
