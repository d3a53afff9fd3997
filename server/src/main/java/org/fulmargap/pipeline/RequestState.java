package org.fulmargap.pipeline;

import java.util.concurrent.atomic.AtomicReferenceArray;

import org.fulmargap.request.AttemptId;
import org.fulmargap.timeline.Invariants;

/**
 * State of one running request. It accepts one result for each stage.
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
	 * Asks for permission to send the first byte to an endpoint.
	 * @param nowMs the present time in milliseconds since the epoch
	 * @return {@code false} if the claim of a non-idempotent request does not allow it
	 */
	boolean mayDispatch(long nowMs) {
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

	void reached(RunState state) {
		if (state.compareTo(this.runState) > 0) {
			this.runState = state;
		}
	}

	RunState runState() {
		return this.runState;
	}

	void token(long nowMs) {
		if (this.firstTokenAtMs == 0) {
			this.firstTokenAtMs = nowMs;
		}
	}

	long firstTokenAtMs(long otherwiseMs) {
		return (this.firstTokenAtMs != 0) ? this.firstTokenAtMs : otherwiseMs;
	}

}
