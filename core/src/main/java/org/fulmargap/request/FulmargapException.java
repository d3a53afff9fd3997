package org.fulmargap.request;

import java.util.Objects;

/**
 * Reports a typed failure. Subclasses may add data about the failure.
 */
public class FulmargapException extends Exception {

	private static final long serialVersionUID = 1L;

	private final FailureType type;

	private final String reason;

	/**
	 * Creates a failure.
	 * @param type the type of the failure
	 * @param reason a stable upper-case code that tells apart causes of the same type,
	 * for example {@code LOG_UNAVAILABLE}
	 * @param message a text for people
	 */
	public FulmargapException(FailureType type, String reason, String message) {
		this(type, reason, message, null);
	}

	/**
	 * Creates a failure with a cause.
	 * @param type the type of the failure
	 * @param reason a stable upper-case code that tells apart causes of the same type
	 * @param message a text for people
	 * @param cause the cause, or {@code null}
	 */
	public FulmargapException(FailureType type, String reason, String message, Throwable cause) {
		super(message, cause);
		this.type = Objects.requireNonNull(type, "type");
		this.reason = Objects.requireNonNull(reason, "reason");
	}

	/**
	 * Returns the type of the failure.
	 * @return the type
	 */
	public FailureType type() {
		return this.type;
	}

	/**
	 * Returns the code that tells apart causes of the same type.
	 * @return an upper-case code
	 */
	public String reason() {
		return this.reason;
	}

}
