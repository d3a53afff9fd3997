package org.fulmargap.admission;

import org.fulmargap.request.FailureType;
import org.fulmargap.request.FulmargapException;

/**
 * Thrown when a request is refused before it runs.
 */
public class AdmissionRefusedException extends FulmargapException {

	private static final long serialVersionUID = 1L;

	private final long retryAfterMs;

	/**
	 * Creates an exception.
	 * @param type the type of the failure
	 * @param reason a stable upper-case code
	 * @param message a human-readable text
	 * @param retryAfterMs the time in milliseconds after which a retry may succeed
	 */
	public AdmissionRefusedException(FailureType type, String reason, String message, long retryAfterMs) {
		super(type, reason, message);
		this.retryAfterMs = retryAfterMs;
	}

	/**
	 * Returns the value of the {@code Retry-After} header before rounding to seconds.
	 * @return milliseconds
	 */
	public long retryAfterMs() {
		return this.retryAfterMs;
	}

}
