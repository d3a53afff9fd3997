package org.fulmargap.bench;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import org.fulmargap.admission.AdmissionListener.Permit;
import org.fulmargap.bench.RunStatistics.Outcome;
import org.fulmargap.bench.Workload.Request;
import org.fulmargap.config.PipelineSpec;
import org.fulmargap.request.Deadline;
import org.fulmargap.routing.CallFailure;
import org.fulmargap.routing.Reservation;

/**
 * Simulated entry VM, which runs the stages of requests. Subclasses implement admission,
 * the selection of endpoints and retries.
 */
abstract class EntryVm {

	/** Delay between attempts to find a free endpoint for a stage. */
	private static final long SELECT_RETRY_MS = 5;

	final Simulation simulation;

	final VirtualClock clock;

	EntryVm(Simulation simulation) {
		this.simulation = simulation;
		this.clock = simulation.clock();
	}

	// Admits a request and runs its first stage with startStage, now or later, or refuses
	// it with end.
	abstract void begin(RequestState state);

	// Reserves an endpoint for the current stage, or returns empty if none is free or if
	// the request was ended.
	abstract Optional<Reservation> selectEndpoint(RequestState state);

	// Returns the time in milliseconds that the current stage may use.
	abstract long limitMs(RequestState state);

	// Returns whether a failed attempt is retried.
	abstract boolean shouldRetry(RequestState state, String endpoint, CallFailure failure);

	// Replaces the set of endpoints that are out of service.
	abstract void setUnavailableEndpoints(Set<String> unavailable);

	final void submit(Request request, Consumer<Outcome> onEnd) {
		begin(new RequestState(request, this.simulation.pipeline(request), onEnd));
	}

	final void startStage(RequestState state) {
		state.attempts = 0;
		state.excludedEndpoints.clear();
		attempt(state);
	}

	final void attempt(RequestState state) {
		long limitMs = limitMs(state);
		if (limitMs <= 0) {
			end(state, (state.mayHaveRun) ? Outcome.LATE : Outcome.NOT_RUN);
			return;
		}
		Optional<Reservation> reservation = selectEndpoint(state);
		if (state.ended) {
			return;
		}
		if (reservation.isEmpty()) {
			this.clock.scheduleAfter(SELECT_RETRY_MS, () -> attempt(state));
			return;
		}
		state.attempts++;
		new Attempt(state, reservation.get()).send(limitMs);
	}

	final void end(RequestState state, Outcome outcome) {
		state.ended = true;
		if (state.permit != null) {
			state.permit.release(this.clock.nowMs());
		}
		state.onEnd.accept(outcome);
	}

	private void answered(RequestState state) {
		state.mayHaveRun |= state.countsAsRun();
		state.stage++;
		if (state.stage < state.pipeline.stages().size()) {
			startStage(state);
		}
		else {
			completed(state);
			end(state, (state.deadline.isPassed(this.clock.nowMs())) ? Outcome.LATE : Outcome.ANSWERED);
		}
	}

	void completed(RequestState state) {
	}

	/**
	 * A request and its progress through the stages.
	 */
	static final class RequestState {

		final Request request;

		final PipelineSpec pipeline;

		final Deadline deadline;

		final Set<String> excludedEndpoints = new HashSet<>();

		private final Consumer<Outcome> onEnd;

		Permit permit;

		int stage;

		int attempts;

		boolean mayHaveRun;

		boolean ended;

		RequestState(Request request, PipelineSpec pipeline, Consumer<Outcome> onEnd) {
			this.request = request;
			this.pipeline = pipeline;
			this.deadline = new Deadline(request.atMs() + pipeline.deadlineMs());
			this.onEnd = onEnd;
		}

		String service() {
			return this.pipeline.stages().get(this.stage).service();
		}

		// Returns whether an execution of the current stage counts as an execution of the
		// request. Of a non-idempotent request, only the action counts, because the
		// stages before it have no external effects.
		boolean countsAsRun() {
			return this.request.idempotent() || this.stage == this.pipeline.stages().size() - 1;
		}

	}

	/**
	 * One attempt of a stage at an endpoint.
	 */
	private final class Attempt implements FakeEndpoint.Listener {

		private final RequestState state;

		private final Reservation reservation;

		private final long sentMs;

		private boolean done;

		private Attempt(RequestState state, Reservation reservation) {
			this.state = state;
			this.reservation = reservation;
			this.sentMs = EntryVm.this.clock.nowMs();
		}

		private void send(long limitMs) {
			FakeEndpoint endpoint = EntryVm.this.simulation.endpoint(this.reservation.endpoint());
			FakeEndpoint.Call call = endpoint.submit(this.state.request, this);
			EntryVm.this.clock.scheduleAfter(limitMs, () -> {
				if (!this.done) {
					endpoint.cancel(call);
					failed(CallFailure.TIMED_OUT);
				}
			});
		}

		@Override
		public void answered(int cachedTokens, String incarnation) {
			long nowMs = EntryVm.this.clock.nowMs();
			this.done = true;
			this.reservation.succeeded(nowMs - this.sentMs, cachedTokens, incarnation, nowMs);
			this.reservation.close();
			EntryVm.this.answered(this.state);
		}

		@Override
		public void failed(CallFailure failure) {
			this.done = true;
			this.reservation.failed(failure, EntryVm.this.clock.nowMs());
			this.reservation.close();
			this.state.mayHaveRun |= failure.dispatchState().mayHaveRun() && this.state.countsAsRun();
			boolean unknown = !this.state.request.idempotent() && this.state.mayHaveRun;
			if (shouldRetry(this.state, this.reservation.endpoint(), failure)) {
				this.state.excludedEndpoints.add(this.reservation.endpoint());
				attempt(this.state);
			}
			else if (unknown) {
				end(this.state, Outcome.UNKNOWN);
			}
			else if (failure == CallFailure.TIMED_OUT) {
				end(this.state, Outcome.LATE);
			}
			else {
				end(this.state, (this.state.mayHaveRun) ? Outcome.FAILED : Outcome.NOT_RUN);
			}
		}

	}

}
