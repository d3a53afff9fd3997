package org.fulmargap.http;

import java.util.concurrent.CompletableFuture;

import org.fulmargap.request.FulmargapException;

/**
 * One step in the handling of a request. A filter replies to the request itself or runs
 * the rest of the chain.
 */
interface RequestFilter {

	/**
	 * Handles a request. Must not block until other requests have ended.
	 * @param exchange the state of the request
	 * @param next the rest of the chain
	 * @return a future with the reply, never completed exceptionally
	 * @throws FulmargapException if the request is refused and no endpoint has run it
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
