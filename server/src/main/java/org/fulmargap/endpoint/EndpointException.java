package org.fulmargap.endpoint;

import java.net.ConnectException;
import java.util.Objects;

import org.fulmargap.request.DispatchState;
import org.fulmargap.routing.CallFailure;

/**
 * Reports a call to an endpoint that delivered no complete answer.
 */
public class EndpointException extends Exception {

	private static final long serialVersionUID = 1L;

	private final CallFailure failure;

	private final boolean receiverGone;

	private final boolean repeatable;

	/**
	 * Creates the failure.
	 * @param failure how the call failed
	 * @param message a text for people
	 * @param cause the cause, or {@code null}
	 */
	public EndpointException(CallFailure failure, String message, Throwable cause) {
		this(failure, message, cause, false, true);
	}

	EndpointException(CallFailure failure, String message, Throwable cause, boolean receiverGone, boolean repeatable) {
		super(message, cause);
		this.failure = Objects.requireNonNull(failure, "failure");
		this.receiverGone = receiverGone;
		this.repeatable = repeatable;
	}

	/**
	 * Returns how the call failed.
	 * @return the kind of failure
	 */
	public CallFailure failure() {
		return this.failure;
	}

	/**
	 * Returns what is known about the dispatch.
	 * @return {@link DispatchState#NOT_SENT} only if the endpoint provably did not start
	 * the attempt
	 */
	public DispatchState dispatchState() {
		return this.failure.dispatchState();
	}

	/**
	 * Tells whether the endpoint refused the connection, as a host does whose endpoint
	 * process is gone.
	 * @return {@code true} unless the connection timed out or was established
	 */
	public boolean isRefusedConnection() {
		return getCause() instanceof ConnectException;
	}

	/**
	 * Tells whether the call ended because nobody receives its tokens any more.
	 * @return {@code true} if the token sink failed
	 */
	public boolean isReceiverGone() {
		return this.receiverGone;
	}

	/**
	 * Tells whether another attempt may have another result.
	 * @return {@code false} if the endpoint answered that the request itself is wrong
	 */
	public boolean isRepeatable() {
		return this.repeatable;
	}

}
