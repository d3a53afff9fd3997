package org.fulmargap.standin;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.eclipse.jetty.util.Callback;

/**
 * Writes the answer of one run, subject to the faults of the run.
 */
final class StageAnswer {

	private static final String CROSSED_INPUT = "input of another request";

	private final StageRun run;

	private final int promptTokens;

	private final int cachedTokens;

	private final StageScheduler scheduler;

	private final List<String> tokens;

	StageAnswer(StageRun run, int promptTokens, int cachedTokens, StageScheduler scheduler) {
		this.run = run;
		this.promptTokens = promptTokens;
		this.cachedTokens = cachedTokens;
		this.scheduler = scheduler;
		String input = run.faults.crossAnswer() ? CROSSED_INPUT : run.body.input();
		this.tokens = StageOutput.tokens(run.kind, input, run.body.maxTokens());
	}

	static void refuse(Exchange exchange, int status, String type, String message) {
		exchange.answerHeader("Fulmargap-Not-Run", "true").error(status, type, message);
	}

	void begin() {
		if (this.run.faults.closeAfter()) {
			if (this.scheduler.finish(this.run)) {
				this.run.exchange.abort();
			}
		}
		else if (this.run.kind.equals("generate")) {
			this.run.exchange.startEvents();
			token(this.run.body.startIndex());
		}
		else if (this.scheduler.finish(this.run)) {
			answer();
		}
	}

	private void answer() {
		Map<String, Object> fields = new LinkedHashMap<>();
		fields.put("output", this.tokens.get(0));
		fields.put("tokens", this.promptTokens);
		fields.put("cached_tokens", this.cachedTokens);
		byte[] body = Exchange.json(fields);
		Exchange exchange = this.run.exchange;
		EndpointFaults.Truncation truncation = this.run.faults.truncateAnswer();
		if (truncation == EndpointFaults.Truncation.NONE) {
			exchange.answer(200, body, this.run.faults.duplicateAnswer() ? exchange.duplicate(body) : Callback.NOOP);
		}
		else if (truncation.closesConnection()) {
			exchange.answerPart(Arrays.copyOf(body, body.length / 2), body.length);
		}
		else {
			exchange.answer(200, Arrays.copyOf(body, body.length / 2));
		}
	}

	private void token(int index) {
		Exchange exchange = this.run.exchange;
		EndpointFaults.Truncation truncation = this.run.faults.truncateAnswer();
		boolean cut = truncation != EndpointFaults.Truncation.NONE && index >= this.tokens.size() / 2;
		if (this.run.isCancelled()) {
			return;
		}
		if (cut || index >= this.tokens.size()) {
			if (!this.scheduler.finish(this.run)) {
				return;
			}
			if (cut && truncation.closesConnection()) {
				exchange.abort();
			}
			else if (cut) {
				exchange.endEvents();
			}
			else {
				exchange.event("done", Map.of("count", this.tokens.size()), Callback.from(exchange::endEvents));
			}
			return;
		}
		Callback next = Callback.from(() -> this.scheduler.nextToken(this.run, () -> token(index + 1)),
				(failure) -> this.scheduler.cancel(this.run.attempt));
		Map<String, Object> event = new LinkedHashMap<>();
		event.put("index", index);
		event.put("text", this.tokens.get(index));
		exchange.event("token", event, this.run.faults.duplicateAnswer()
				? Callback.from(() -> exchange.event("token", event, next), next::failed) : next);
	}

}
