package org.fulmargap.pipeline;

import java.util.concurrent.atomic.AtomicReferenceArray;

import org.fulmargap.request.AttemptId;
import org.fulmargap.timeline.Invariants;

/**
 * State of one running request. Accepts at most one result for each stage.
 */
final class RequestState {

	private final PipelineRequest request;

	private final Invariants invariants;

	private final AtomicReferenceArray<AttemptId> accepted;

	private boolean dispatched;

	private RunState runState = RunState.NOT_RUN;

	private long firstTokenAtMs;

	RequestState(PipelineRequest request, Invariants invariants) {
		this.request = request;
		this.invariants = invariants;
		this.accepted = new AtomicReferenceArray<>(request.pipeline().stages().size());
	}

	/**
	 * Accepts the result of a stage.
	 * @param attempt the attempt that delivered the result
	 * @return {@code false} if the stage already has a result
	 */
	boolean accept(AttemptId attempt) {
		boolean first = this.accepted.compareAndSet(attempt.stageIndex(), null, attempt);
		return this.invariants.check(first, "SECOND_STAGE_RESULT", this.request.requestId(),
				this.request.configVersion(),
				"attempt " + attempt + " after " + this.accepted.get(attempt.stageIndex()));
	}

	/**
	 * Marks the claim of a non-idempotent request as dispatched. The first byte of the
	 * request may be sent to an endpoint only after this method returned {@code true}.
	 * @param nowMs the current time in milliseconds since the epoch
	 * @return {@code false} if the request must not be sent because its claim is missing,
	 * was abandoned or has expired
	 */
	boolean tryDispatch(long nowMs) {
		if (this.dispatched || this.request.pipeline().idempotent()) {
			return true;
		}
		if (!this.invariants.check(this.request.claim().isPresent(), "DISPATCH_WITHOUT_CLAIM", this.request.requestId(),
				this.request.configVersion(), "pipeline " + this.request.pipelineName())) {
			return false;
		}
		this.dispatched = this.request.claim().get().markDispatched(nowMs);
		return this.dispatched;
	}

	void advanceTo(RunState state) {
		if (state.compareTo(this.runState) > 0) {
			this.runState = state;
		}
	}

	RunState runState() {
		return this.runState;
	}

	void recordToken(long nowMs) {
		if (this.firstTokenAtMs == 0) {
			this.firstTokenAtMs = nowMs;
		}
	}

	long firstTokenAtMs(long defaultMs) {
		return (this.firstTokenAtMs != 0) ? this.firstTokenAtMs : defaultMs;
	}

}
