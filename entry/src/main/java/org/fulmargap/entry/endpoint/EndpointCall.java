package org.fulmargap.entry.endpoint;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.fulmargap.platform.EndpointAnswer;

/**
 * Receives the answer to a call to an endpoint. Exactly one of {@link #ended} and
 * {@link #failed} is called last, unless the call is cancelled; then no further method is
 * called.
 */
public interface EndpointCall {

	/**
	 * Returns the attempt id that the answer must have. Answers with another id are
	 * skipped; one without an id fails the call, which may have run.
	 * @return the id, or an empty string if answers with any id or none are accepted
	 */
	String attemptId();

	/**
	 * Returns whether the request may still be sent. It is asked when the connection is
	 * open, and once more when the request is encoded, just before its bytes are written.
	 * @return {@code false} if it must not be sent any more; the call then fails as
	 * {@link CallFailure#WITHDRAWN}
	 */
	default boolean maySend() {
		return true;
	}

	/**
	 * Receives the status and headers of each answer that the endpoint sends during the
	 * call, those included that are then skipped or rejected.
	 * @param answer the decoded status and headers
	 */
	default void headRead(EndpointAnswer answer) {
	}

	/**
	 * Receives the status and headers of the answer.
	 * @param answer the decoded status and headers
	 * @param head the HTTP response without its body
	 */
	void answered(EndpointAnswer answer, HttpResponse head);

	/**
	 * Receives a part of the body.
	 * @param content the bytes, valid only during this method
	 * @return {@code false} if the answer is too large; the call then fails as
	 * {@link CallFailure#WRONG_ANSWER} and its connection is closed
	 */
	boolean received(ByteBuf content);

	/**
	 * Handles the end of a complete answer.
	 * @return whether the answer is known to belong to this call; if it may be a late
	 * copy of an earlier answer, the connection is closed, because the true answer may
	 * still follow
	 */
	boolean ended();

	/**
	 * Handles the failure of the call. The answer is missing or incomplete.
	 * @param failure the cause
	 */
	void failed(CallFailure failure);

}
