package org.fulmargap.http;

import org.fulmargap.request.FulmargapException;

/**
 * Says whether this entry VM may run requests at present.
 */
public interface ServiceGate {

	/**
	 * Checks one request. Non-idempotent requests are checked after their key was
	 * claimed, so that a refusal as not run is true for the key.
	 * @param fingerprint identifies account, pipeline and body
	 * @param nowMs the present time in milliseconds since the epoch
	 * @throws FulmargapException if the request must not run here
	 */
	void check(String fingerprint, long nowMs) throws FulmargapException;

	/**
	 * Tells whether only endpoints of the own failure domain may be used.
	 * @param nowMs the present time in milliseconds since the epoch
	 * @return {@code true} while this entry VM is cut off
	 */
	boolean ownDomainOnly(long nowMs);

}
