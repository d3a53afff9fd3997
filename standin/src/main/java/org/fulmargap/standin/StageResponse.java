package org.fulmargap.standin;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.eclipse.jetty.util.Callback;

/**
 * Sends the response to a stage request, altered by the injected faults of the request.
 */
final class StageResponse {

	private static final String CROSSED_INPUT = "input of another request";

	private final StageRun run;

	private final int promptTokens;

	private final int cachedTokens;

	private final StageScheduler scheduler;

	private final List<String> tokens;

	StageResponse(StageRun run, int promptTokens, int cachedTokens, StageScheduler scheduler) {
		this.run = run;
		this.promptTokens = promptTokens;
		this.cachedTokens = cachedTokens;
		this.scheduler = scheduler;
		String input = run.faults.crossAnswer() ? CROSSED_INPUT : run.body.input();
		this.tokens = StageOutput.tokens(run.kind, input, run.body.maxTokens());
	}

	static void refuse(Exchange exchange, int status, String type, String message) {
		exchange.responseHeader("Fulmargap-Not-Run", "true").error(status, type, message);
	}

	void respond() {
		if (this.run.faults.closeAfter()) {
			if (this.scheduler.finish(this.run)) {
				this.run.exchange.abort();
			}
		}
		else if (this.run.kind.equals("generate")) {
			this.run.exchange.startEventStream();
			sendToken(this.run.body.startIndex());
		}
		else if (this.scheduler.finish(this.run)) {
			respondComplete();
		}
	}

	private void respondComplete() {
		Map<String, Object> fields = new LinkedHashMap<>();
		fields.put("output", this.tokens.get(0));
		fields.put("tokens", this.promptTokens);
		fields.put("cached_tokens", this.cachedTokens);
		byte[] body = Exchange.json(fields);
		Exchange exchange = this.run.exchange;
		EndpointFaults.Truncation truncation = this.run.faults.truncateAnswer();
		if (truncation == EndpointFaults.Truncation.NONE) {
			exchange.respond(200, body,
					this.run.faults.duplicateAnswer() ? exchange.duplicateResponse(body) : Callback.NOOP);
		}
		else if (truncation.closesConnection()) {
			exchange.respondPartially(Arrays.copyOf(body, body.length / 2), body.length);
		}
		else {
			exchange.respond(200, Arrays.copyOf(body, body.length / 2));
		}
	}

	private void sendToken(int index) {
		Exchange exchange = this.run.exchange;
		EndpointFaults.Truncation truncation = this.run.faults.truncateAnswer();
		boolean truncated = truncation != EndpointFaults.Truncation.NONE && index >= this.tokens.size() / 2;
		if (this.run.isCancelled()) {
			return;
		}
		if (truncated || index >= this.tokens.size()) {
			if (!this.scheduler.finish(this.run)) {
				return;
			}
			if (truncated && truncation.closesConnection()) {
				exchange.abort();
			}
			else if (truncated) {
				exchange.endEventStream();
			}
			else {
				exchange.sendEvent("done", Map.of("count", this.tokens.size()),
						Callback.from(exchange::endEventStream));
			}
			return;
		}
		Callback next = Callback.from(() -> this.scheduler.scheduleToken(this.run, () -> sendToken(index + 1)),
				(failure) -> this.scheduler.cancel(this.run.attempt));
		Map<String, Object> event = new LinkedHashMap<>();
		event.put("index", index);
		event.put("text", this.tokens.get(index));
		exchange.sendEvent("token", event, this.run.faults.duplicateAnswer()
				? Callback.from(() -> exchange.sendEvent("token", event, next), next::failed) : next);
	}

}
