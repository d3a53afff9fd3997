package org.fulmargap.entry.caller;

import io.netty.handler.codec.http.FullHttpRequest;

/**
 * Takes the requests of callers.
 */
public interface CallerHandler {

	/**
	 * Takes a request.
	 * @param request the request; the handler releases it
	 * @param exchange the way to answer it
	 * @return what hears if the caller leaves; {@code null} if the request is answered
	 */
	CallerListener handle(FullHttpRequest request, CallerExchange exchange);

}
