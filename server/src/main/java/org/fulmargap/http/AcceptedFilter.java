package org.fulmargap.http;

import java.util.concurrent.CompletableFuture;

import org.fulmargap.timeline.EventType;
import org.fulmargap.timeline.Timeline;

/**
 * Records that a request was authenticated and found valid.
 */
final class AcceptedFilter implements RequestFilter {

	private final Timeline timeline;

	AcceptedFilter(Timeline timeline) {
		this.timeline = timeline;
	}

	@Override
	public CompletableFuture<Reply> apply(Exchange exchange, Next next) {
		this.timeline.record(EventType.REQUEST_ACCEPTED, exchange.requestId(), exchange.configView.version(), "account",
				exchange.accountName, "pipeline", exchange.pipelineName, "priority", exchange.priority,
				"deadline_at_ms", exchange.deadline.atMs());
		return next.proceed();
	}

}
