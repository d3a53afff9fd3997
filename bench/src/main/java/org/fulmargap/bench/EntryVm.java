package org.fulmargap.bench;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import org.fulmargap.admission.AdmissionListener.Permit;
import org.fulmargap.bench.Tally.Outcome;
import org.fulmargap.bench.Workload.Request;
import org.fulmargap.config.PipelineSpec;
import org.fulmargap.request.Deadline;
import org.fulmargap.routing.CallFailure;
import org.fulmargap.routing.Reservation;

/**
 * An entry VM: runs the stages of requests. Subclasses decide about admission, endpoints
 * and retries.
 */
abstract class EntryVm {

	/** Entry VMs look for a free endpoint this often. */
	private static final long SELECT_AGAIN_MS = 5;

	final World world;

	final Clock clock;

	EntryVm(World world) {
		this.world = world;
		this.clock = world.clock();
	}

	// Decides about a request and lets it start with {@link #startStage} or ends it.
	abstract void begin(Flow flow);

	// Reserves an endpoint, or returns empty if there is none now.
	abstract Optional<Reservation> choose(Flow flow);

	// Returns the time that the present stage may use.
	abstract long limitMs(Flow flow);

	// Decides whether a failed attempt is followed by another.
	abstract boolean retries(Flow flow, String endpoint, CallFailure failure);

	// Replaces the set of endpoints that are taken out.
	abstract void update(Set<String> unavailable);

	final void submit(Request request, Consumer<Outcome> onEnd) {
		begin(new Flow(request, this.world.pipeline(request), onEnd));
	}

	final void startStage(Flow flow) {
		flow.attempts = 0;
		flow.excluded.clear();
		attempt(flow);
	}

	final void attempt(Flow flow) {
		long limitMs = limitMs(flow);
		if (limitMs <= 0) {
			end(flow, (flow.mayHaveRun) ? Outcome.LATE : Outcome.NOT_RUN);
			return;
		}
		Optional<Reservation> reservation = choose(flow);
		if (flow.ended) {
			return;
		}
		if (reservation.isEmpty()) {
			this.clock.after(SELECT_AGAIN_MS, () -> attempt(flow));
			return;
		}
		flow.attempts++;
		new Attempt(flow, reservation.get()).send(limitMs);
	}

	final void end(Flow flow, Outcome outcome) {
		flow.ended = true;
		if (flow.permit != null) {
			flow.permit.release(this.clock.nowMs());
		}
		flow.onEnd.accept(outcome);
	}

	private void answered(Flow flow) {
		flow.mayHaveRun |= flow.countsAsRun();
		flow.stage++;
		if (flow.stage < flow.pipeline.stages().size()) {
			startStage(flow);
		}
		else {
			completed(flow);
			end(flow, (flow.deadline.isPassed(this.clock.nowMs())) ? Outcome.LATE : Outcome.ANSWERED);
		}
	}

	void completed(Flow flow) {
	}

	/**
	 * A request on its way through the stages.
	 */
	static final class Flow {

		final Request request;

		final PipelineSpec pipeline;

		final Deadline deadline;

		final Set<String> excluded = new HashSet<>();

		private final Consumer<Outcome> onEnd;

		Permit permit;

		int stage;

		int attempts;

		boolean mayHaveRun;

		boolean ended;

		Flow(Request request, PipelineSpec pipeline, Consumer<Outcome> onEnd) {
			this.request = request;
			this.pipeline = pipeline;
			this.deadline = new Deadline(request.atMs() + pipeline.deadlineMs());
			this.onEnd = onEnd;
		}

		String service() {
			return this.pipeline.stages().get(this.stage).service();
		}

		// The stages before the action of a non-idempotent request have no effect
		// outside,
		// so only the action makes the statement "not run" untrue.
		boolean countsAsRun() {
			return this.request.idempotent() || this.stage == this.pipeline.stages().size() - 1;
		}

	}

	/**
	 * One call to an endpoint.
	 */
	private final class Attempt implements FakeEndpoint.Listener {

		private final Flow flow;

		private final Reservation reservation;

		private final long sentMs;

		private boolean done;

		private Attempt(Flow flow, Reservation reservation) {
			this.flow = flow;
			this.reservation = reservation;
			this.sentMs = EntryVm.this.clock.nowMs();
		}

		private void send(long limitMs) {
			FakeEndpoint endpoint = EntryVm.this.world.endpoint(this.reservation.endpoint());
			FakeEndpoint.Call call = endpoint.submit(this.flow.request, this);
			EntryVm.this.clock.after(limitMs, () -> {
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
			EntryVm.this.answered(this.flow);
		}

		@Override
		public void failed(CallFailure failure) {
			this.done = true;
			this.reservation.failed(failure, EntryVm.this.clock.nowMs());
			this.reservation.close();
			this.flow.mayHaveRun |= failure.dispatchState().mayHaveRun() && this.flow.countsAsRun();
			boolean unknown = !this.flow.request.idempotent() && this.flow.mayHaveRun;
			if (retries(this.flow, this.reservation.endpoint(), failure)) {
				this.flow.excluded.add(this.reservation.endpoint());
				attempt(this.flow);
			}
			else if (unknown) {
				end(this.flow, Outcome.UNKNOWN);
			}
			else if (failure == CallFailure.TIMED_OUT) {
				end(this.flow, Outcome.LATE);
			}
			else {
				end(this.flow, (this.flow.mayHaveRun) ? Outcome.FAILED : Outcome.NOT_RUN);
			}
		}

	}

}
