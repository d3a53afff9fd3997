package org.fulmargap.entry.caller;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * One request of a caller and the way to answer it. Confined to the event loop.
 */
public interface CallerExchange {

	/**
	 * Answers with a whole body.
	 * @param status the HTTP status
	 * @param headers the headers without those of the connection
	 * @param body the body; the exchange takes it over
	 */
	void answer(int status, HttpHeaders headers, ByteBuf body);

	/**
	 * Begins an answer whose body follows in parts.
	 * @param status the HTTP status
	 * @param headers the headers without those of the connection
	 */
	void begin(int status, HttpHeaders headers);

	/**
	 * Sends a part of the body.
	 * @param content the bytes; the exchange takes them over
	 */
	void write(ByteBuf content);

	/**
	 * Ends the body that {@link #begin} announced.
	 */
	void end();

	/**
	 * Ends the connection, so that an answer that has begun is seen to be incomplete.
	 */
	void abort();

}
