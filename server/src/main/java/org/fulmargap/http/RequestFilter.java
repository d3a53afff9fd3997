package org.fulmargap.http;

import java.util.concurrent.CompletableFuture;

import org.fulmargap.request.FulmargapException;

/**
 * One step of the handling of a request. A filter answers the request or passes it on.
 */
interface RequestFilter {

	/**
	 * Handles a request without blocking for other requests.
	 * @param exchange the request
	 * @param next the rest of the chain
	 * @return a future with the reply, never completed exceptionally
	 * @throws FulmargapException if the request is refused; no endpoint has run it
	 */
	CompletableFuture<Reply> apply(Exchange exchange, Next next) throws FulmargapException;

	/**
	 * The rest of a chain.
	 */
	@FunctionalInterface
	interface Next {

		CompletableFuture<Reply> proceed();

	}

}
