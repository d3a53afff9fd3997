package org.fulmargap.http;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.fulmargap.config.Json;
import org.fulmargap.pipeline.PipelineExecutor;
import org.fulmargap.pipeline.PipelineRequest;
import org.fulmargap.pipeline.PipelineResult;
import org.fulmargap.pipeline.RunState;
import org.fulmargap.request.FailureType;
import org.fulmargap.request.FulmargapException;
import org.fulmargap.timeline.Invariants;

/**
 * Runs the request on the current thread, which is a worker thread.
 */
final class ExecutionFilter implements RequestFilter {

	private final PipelineExecutor executor;

	private final Invariants invariants;

	ExecutionFilter(PipelineExecutor executor, Invariants invariants) {
		this.executor = executor;
		this.invariants = invariants;
	}

	@Override
	public CompletableFuture<Reply> apply(Exchange exchange, Next next) {
		return CompletableFuture.completedFuture(run(exchange));
	}

	private Reply run(Exchange exchange) {
		try {
			return reply(exchange, this.executor.run(request(exchange)));
		}
		catch (RuntimeException ex) {
			// A defect must not leave the claim unfinished. It is not known how much of
			// the request ran, so the key is not released.
			this.invariants.check(false, "UNEXPECTED_EXCEPTION", exchange.requestId(), exchange.configView.version(),
					ex.toString());
			FailureType type = exchange.pipeline.idempotent() ? FailureType.STAGE_FAILED : FailureType.OUTCOME_UNKNOWN;
			return Reply.failed(new FulmargapException(type, "INTERNAL_ERROR", "the request failed unexpectedly", ex),
					exchange.requestId(), RunState.ACTED);
		}
	}

	private static PipelineRequest request(Exchange exchange) {
		return new PipelineRequest(exchange.incarnation, exchange.number, exchange.pipelineName, exchange.pipeline,
				exchange.configView.configuration(), exchange.configView.version(), exchange.input, exchange.priority,
				exchange.deadline, exchange.arrivedAtMs, exchange.fingerprint, exchange.idempotencyKey, exchange.claim,
				exchange.sink, exchange.ownDomainOnly);
	}

	private static Reply reply(Exchange exchange, PipelineResult result) {
		if (result.failure().isPresent()) {
			return Reply.failed(result.failure().get(), exchange.requestId(), result.runState());
		}
		ObjectNode body = Json.mapper().createObjectNode();
		body.put("request_id", exchange.requestId());
		body.put("pipeline", exchange.pipelineName);
		body.put("config_version", exchange.configView.version());
		body.put("output", result.output());
		body.put("first_token_ms", result.firstTokenMs());
		body.put("total_ms", result.totalMs());
		body.set("stages", Json.mapper().valueToTree(result.stages()));
		return new Reply(200, body.toString(), Optional.of(result.output()), result.runState(), Optional.empty());
	}

}
