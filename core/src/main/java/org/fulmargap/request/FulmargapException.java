package org.fulmargap.request;

import java.util.Objects;

/**
 * Reports a failure with its type. Subclasses may add details.
 */
public class FulmargapException extends Exception {

	private static final long serialVersionUID = 1L;

	private final FailureType type;

	private final String reason;

	/**
	 * Creates an exception.
	 * @param type the type of the failure
	 * @param reason a stable upper-case code that distinguishes causes of the same type,
	 * for example {@code LOG_UNAVAILABLE}
	 * @param message a human-readable text
	 */
	public FulmargapException(FailureType type, String reason, String message) {
		this(type, reason, message, null);
	}

	/**
	 * Creates an exception with a cause.
	 * @param type the type of the failure
	 * @param reason a stable upper-case code that distinguishes causes of the same type
	 * @param message a human-readable text
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
	 * Returns the code that distinguishes causes of the same type.
	 * @return an upper-case code
	 */
	public String reason() {
		return this.reason;
	}

}
