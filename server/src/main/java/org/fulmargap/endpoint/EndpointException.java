package org.fulmargap.endpoint;

import java.net.ConnectException;
import java.util.Objects;

import org.fulmargap.request.DispatchState;
import org.fulmargap.routing.CallFailure;

/**
 * Thrown when a call to an endpoint delivered no complete answer.
 */
public class EndpointException extends Exception {

	private static final long serialVersionUID = 1L;

	private final CallFailure failure;

	private final boolean sinkFailure;

	private final boolean retryable;

	/**
	 * Creates an exception for a failure after which another attempt may succeed.
	 * @param failure how the call failed
	 * @param message a human-readable description
	 * @param cause the cause, or {@code null}
	 */
	public EndpointException(CallFailure failure, String message, Throwable cause) {
		this(failure, message, cause, false, true);
	}

	EndpointException(CallFailure failure, String message, Throwable cause, boolean sinkFailure, boolean retryable) {
		super(message, cause);
		this.failure = Objects.requireNonNull(failure, "failure");
		this.sinkFailure = sinkFailure;
		this.retryable = retryable;
	}

	/**
	 * Returns how the call failed.
	 * @return the kind of failure
	 */
	public CallFailure failure() {
		return this.failure;
	}

	/**
	 * Returns whether the endpoint may have started the attempt.
	 * @return {@link DispatchState#NOT_SENT} only if the endpoint certainly did not start
	 * the attempt
	 */
	public DispatchState dispatchState() {
		return this.failure.dispatchState();
	}

	/**
	 * Returns whether the endpoint refused the connection, as a host does when its
	 * endpoint process is not running.
	 * @return {@code true} if the cause is a {@link ConnectException}
	 */
	public boolean isRefusedConnection() {
		return getCause() instanceof ConnectException;
	}

	/**
	 * Returns whether the call ended because its tokens could not be delivered.
	 * @return {@code true} if the {@link TokenSink} threw an exception
	 */
	public boolean isSinkFailure() {
		return this.sinkFailure;
	}

	/**
	 * Returns whether another attempt may succeed.
	 * @return {@code false} if the endpoint answered with a status that rejects the
	 * request itself
	 */
	public boolean isRetryable() {
		return this.retryable;
	}

}
