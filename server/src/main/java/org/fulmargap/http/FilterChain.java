package org.fulmargap.http;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.fulmargap.pipeline.RunState;
import org.fulmargap.request.FulmargapException;

/**
 * Runs the filters of a request in order.
 */
final class FilterChain {

	private final List<RequestFilter> filters;

	FilterChain(List<RequestFilter> filters) {
		this.filters = List.copyOf(filters);
	}

	CompletableFuture<Reply> run(Exchange exchange) {
		return run(exchange, 0);
	}

	private CompletableFuture<Reply> run(Exchange exchange, int index) {
		try {
			return this.filters.get(index).apply(exchange, () -> run(exchange, index + 1));
		}
		catch (FulmargapException ex) {
			return CompletableFuture.completedFuture(Reply.failed(ex, exchange.requestId(), RunState.NOT_RUN));
		}
	}

}
