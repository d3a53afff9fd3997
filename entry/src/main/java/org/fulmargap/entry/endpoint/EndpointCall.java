package org.fulmargap.entry.endpoint;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.fulmargap.platform.EndpointAnswer;

/**
 * Hears what becomes of a call to an endpoint. Exactly one of {@link #ended} and
 * {@link #failed} comes last, unless the call is cancelled.
 */
public interface EndpointCall {

	/**
	 * Returns the identity that the answer must carry.
	 * @return the identity, or an empty text if any answer belongs to the call
	 */
	String attemptId();

	/**
	 * Hears the head of the answer.
	 * @param answer what it says
	 * @param head the head itself
	 */
	void answered(EndpointAnswer answer, HttpResponse head);

	/**
	 * Hears a part of the body.
	 * @param content the bytes, valid only during this method
	 */
	void received(ByteBuf content);

	/**
	 * Hears that the answer is complete.
	 */
	void ended();

	/**
	 * Hears that there will be no (further) answer.
	 * @param failure why
	 */
	void failed(CallFailure failure);

}
