package org.fulmargap.admission;

import org.fulmargap.request.FulmargapException;

/**
 * Receives the decision about one request.
 */
public interface AdmissionListener {

	/**
	 * The request may start.
	 * @param permit the slot, to be closed when the request has ended
	 */
	void admitted(Permit permit);

	/**
	 * The request is refused and has not run.
	 * @param refusal the typed refusal
	 */
	void refused(FulmargapException refusal);

	/**
	 * A slot held by a running request.
	 */
	interface Permit {

		/**
		 * Returns the slot. Further calls have no effect.
		 * @param nowMs the present time in milliseconds since the epoch
		 */
		void release(long nowMs);

	}

}
