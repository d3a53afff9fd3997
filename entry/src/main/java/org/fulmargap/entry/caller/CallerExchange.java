package org.fulmargap.entry.caller;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Writes the answer to one request of a caller. Has no effect after the answer is
 * complete or the caller has disconnected. Confined to the event loop.
 */
public interface CallerExchange {

	/**
	 * Writes a complete answer. If {@link #begin} was called before, the connection is
	 * closed instead, like by {@link #abort}.
	 * @param status the HTTP status
	 * @param headers the headers except {@code Connection} and {@code Content-Length}. In
	 * an answer to a HEAD request, {@code Content-Length} may be set to the length that
	 * the body of an answer to GET would have
	 * @param body the body; the exchange releases it. For a HEAD request it is not sent;
	 * unless it is empty, its length is stated
	 */
	void answer(int status, HttpHeaders headers, ByteBuf body);

	/**
	 * Starts an answer whose body follows in parts.
	 * @param status the HTTP status
	 * @param headers the headers except {@code Connection} and {@code Transfer-Encoding}
	 */
	void begin(int status, HttpHeaders headers);

	/**
	 * Returns how long ago the request arrived: the time since its head was read, and how
	 * long it may have lain unread before.
	 * @return the time in milliseconds
	 */
	long waitedMs();

	/**
	 * Returns whether the caller is connected, as far as is known. The listener hears of
	 * the end of the connection a little later.
	 * @return {@code false} if the connection is closed
	 */
	boolean isConnected();

	/**
	 * Returns whether the caller's connection takes bytes. The listener hears of changes.
	 * @return {@code false} if what is written now is kept in memory
	 */
	boolean isWritable();

	/**
	 * Writes a part of the body.
	 * @param content the bytes; the exchange releases them
	 */
	void write(ByteBuf content);

	/**
	 * Completes an answer that {@link #begin} started.
	 */
	void end();

	/**
	 * Closes the connection, so that the caller detects that a started answer is
	 * incomplete.
	 */
	void abort();

}
