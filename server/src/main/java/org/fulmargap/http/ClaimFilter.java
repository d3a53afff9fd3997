package org.fulmargap.http;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import org.fulmargap.claim.ClaimKey;
import org.fulmargap.claim.RecordedOutcome;
import org.fulmargap.config.Json;
import org.fulmargap.ledger.ClaimService;
import org.fulmargap.pipeline.RunState;
import org.fulmargap.request.FailureType;
import org.fulmargap.request.FulmargapException;
import org.fulmargap.timeline.EventType;
import org.fulmargap.timeline.Timeline;

/**
 * Claims the key of a non-idempotent request before any of the filters that may refuse a
 * valid request, and completes or releases the claim when the request has ended.
 */
final class ClaimFilter implements RequestFilter {

	private final ClaimService claims;

	private final Executor callbacks;

	private final Timeline timeline;

	ClaimFilter(ClaimService claims, Executor callbacks, Timeline timeline) {
		this.claims = claims;
		this.callbacks = callbacks;
		this.timeline = timeline;
	}

	@Override
	public CompletableFuture<Reply> apply(Exchange exchange, Next next) {
		if (exchange.pipeline.idempotent()) {
			return next.proceed();
		}
		ClaimKey key = new ClaimKey(exchange.accountName, exchange.idempotencyKey.orElseThrow());
		return this.claims.claim(key, exchange.digest, exchange.requestId(), exchange.deadline)
			.thenComposeAsync((result) -> handleResult(exchange, next, result), this.callbacks);
	}

	private CompletableFuture<Reply> handleResult(Exchange exchange, Next next, ClaimService.Result result) {
		this.timeline.record(EventType.CLAIM_DECIDED, exchange.requestId(), exchange.configView.version(), "result",
				result.getClass().getSimpleName());
		if (result instanceof ClaimService.Result.Refused refused) {
			return CompletableFuture
				.completedFuture(Reply.failed(refused.failure(), exchange.requestId(), RunState.NOT_RUN));
		}
		if (result instanceof ClaimService.Result.Finished finished) {
			return CompletableFuture.completedFuture(replay(finished.outcome(), exchange));
		}
		ClaimService.Handle handle = ((ClaimService.Result.Owned) result).handle();
		exchange.claim = Optional.of(handle);
		return next.proceed().thenApply((reply) -> endClaim(handle, reply));
	}

	private static Reply endClaim(ClaimService.Handle handle, Reply reply) {
		if (reply.runState().allowsKeyReuse()) {
			handle.release();
		}
		else {
			boolean unknown = reply.failure()
				.map((failure) -> failure.type() == FailureType.OUTCOME_UNKNOWN)
				.orElse(false);
			handle.complete(new RecordedOutcome(reply.status(), reply.body(), unknown));
		}
		return reply;
	}

	private static Reply replay(RecordedOutcome outcome, Exchange exchange) {
		if (outcome.body().isEmpty()) {
			return Reply.failed(
					new FulmargapException(FailureType.OUTCOME_UNKNOWN, "RESULT_NOT_RECORDED",
							"the request has run, but its result was too large to record"),
					exchange.requestId(), RunState.NOT_RUN);
		}
		return new Reply(outcome.httpStatus(), outcome.body(), output(outcome.body()), RunState.NOT_RUN,
				Optional.empty());
	}

	private static Optional<String> output(String body) {
		try {
			JsonNode output = Json.mapper().readTree(body).path("output");
			return output.isTextual() ? Optional.of(output.textValue()) : Optional.empty();
		}
		catch (JsonProcessingException ex) {
			return Optional.empty();
		}
	}

}
