package org.fulmargap.entry.request;

import java.util.Set;

import org.fulmargap.placement.EndpointRecord;

/**
 * Decides for one call whether it clears the shared parts of its prompt or adds a crash
 * to them.
 */
final class PromptEvidence {

	/**
	 * How long a stream must continue after its first event to clear the parts of its
	 * prompt, in milliseconds. An engine crashes when it begins to write the answer.
	 */
	private static final long ANSWERED_AFTER_MS = 250;

	private final PromptPartWatch watch;

	private final Set<String> parts;

	private long firstEventAtMs = Long.MAX_VALUE;

	private boolean answered;

	PromptEvidence(PromptPartWatch watch, Set<String> parts) {
		this.watch = watch;
		this.parts = parts;
	}

	/**
	 * Records an event of the stream.
	 * @param nowMs the current time in milliseconds
	 */
	void event(long nowMs) {
		this.firstEventAtMs = Math.min(this.firstEventAtMs, nowMs);
		if (nowMs - this.firstEventAtMs >= ANSWERED_AFTER_MS) {
			answered(nowMs);
		}
	}

	/**
	 * Records that the answer is complete. A stream without events is no answer: one that
	 * ends with its connection looks complete when the engine crashes.
	 * @param streaming whether the answer is a stream
	 * @param nowMs the current time in milliseconds
	 */
	void completed(boolean streaming, long nowMs) {
		if (!streaming || this.firstEventAtMs <= nowMs) {
			answered(nowMs);
		}
	}

	private void answered(long nowMs) {
		if (!this.answered) {
			this.answered = true;
			this.watch.answered(this.parts, nowMs);
		}
	}

	/**
	 * Records that the connection was lost. An answer that had gone on before is no
	 * reason for a crash.
	 * @param endpoint the endpoint
	 * @param nowMs the current time in milliseconds
	 */
	void connectionLost(EndpointRecord endpoint, long nowMs) {
		if (nowMs - this.firstEventAtMs < ANSWERED_AFTER_MS) {
			this.watch.connectionLost(endpoint, this.parts, nowMs);
		}
	}

}
