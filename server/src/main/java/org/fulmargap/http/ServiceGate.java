package org.fulmargap.http;

import org.fulmargap.request.FulmargapException;

/**
 * Decides whether this entry VM may run requests at the current time.
 */
public interface ServiceGate {

	/**
	 * Checks one request. A non-idempotent request is checked after its key was claimed:
	 * only the owner of the key may answer that no request with this key ran.
	 * @param fingerprint the SHA-256 digest of account, pipeline and body, in hexadecimal
	 * @param nowMs the current time in milliseconds since the epoch
	 * @throws FulmargapException if the request must not run on this entry VM
	 */
	void check(String fingerprint, long nowMs) throws FulmargapException;

	/**
	 * Returns whether only endpoints of the entry VM's failure domain may be used.
	 * @param nowMs the current time in milliseconds since the epoch
	 * @return {@code true} while this entry VM is isolated from the other failure domains
	 */
	boolean ownDomainOnly(long nowMs);

}
