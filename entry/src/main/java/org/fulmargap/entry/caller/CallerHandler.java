package org.fulmargap.entry.caller;

import io.netty.handler.codec.http.FullHttpRequest;

/**
 * Handles the requests of callers.
 */
public interface CallerHandler {

	/**
	 * Handles a request.
	 * @param request the request; the handler releases it
	 * @param exchange writes the answer
	 * @return the listener for a disconnect of the caller, or {@code null} if the request
	 * is already answered
	 */
	CallerListener handle(FullHttpRequest request, CallerExchange exchange);

}
