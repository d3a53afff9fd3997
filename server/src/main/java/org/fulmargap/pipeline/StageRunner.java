package org.fulmargap.pipeline;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;

import org.fulmargap.admission.RetryBudget;
import org.fulmargap.admission.StageBudgets;
import org.fulmargap.config.EndpointSpec;
import org.fulmargap.config.StageKind;
import org.fulmargap.config.StageSpec;
import org.fulmargap.endpoint.EndpointClient;
import org.fulmargap.endpoint.EndpointException;
import org.fulmargap.endpoint.StageAnswer;
import org.fulmargap.endpoint.StageCall;
import org.fulmargap.endpoint.TokenSink;
import org.fulmargap.request.AttemptId;
import org.fulmargap.request.Deadline;
import org.fulmargap.request.FailureType;
import org.fulmargap.request.FulmargapException;
import org.fulmargap.routing.Reservation;
import org.fulmargap.routing.RouteRequest;
import org.fulmargap.routing.Router;

/**
 * Runs one stage: chooses endpoints and repeats attempts where that is safe.
 */
final class StageRunner {

	/** Characters per prompt token, a usual average for European languages. */
	private static final int CHARS_PER_TOKEN = 4;

	private static final int PREFIX_CHARS = 256;

	private final Router router;

	private final EndpointClient client;

	private final RetryBudget retries;

	private final StageLog log;

	private final LongSupplier clock;

	private final StageBudgets budgets;

	private final CapacityWait capacity = new CapacityWait();

	StageRunner(Router router, EndpointClient client, RetryBudget retries, StageLog log, LongSupplier clock) {
		this.router = router;
		this.client = client;
		this.budgets = new StageBudgets(router::expectedStageMs);
		this.retries = retries;
		this.log = log;
		this.clock = clock;
	}

	StageResult run(PipelineRequest request, RequestState state, int index, String input) throws FulmargapException {
		return new Run(request, state, index, input).run();
	}

	/**
	 * Result of one stage.
	 *
	 * @param output the output
	 * @param report how the stage was run
	 */
	record StageResult(String output, StageReport report) {
	}

	/**
	 * The attempts of one request at one stage.
	 */
	private final class Run {

		private final PipelineRequest request;

		private final RequestState state;

		private final int index;

		private final StageSpec stage;

		private final String input;

		private final boolean action;

		private final boolean last;

		private final Set<String> excluded = new HashSet<>();

		private final StringBuilder streamed = new StringBuilder();

		private int streamedTokens;

		Run(PipelineRequest request, RequestState state, int index, String input) {
			this.request = request;
			this.state = state;
			this.index = index;
			this.input = input;
			this.stage = request.pipeline().stages().get(index);
			this.action = !request.pipeline().idempotent() && this.stage.kind() == StageKind.ACTION;
			this.last = index == request.pipeline().stages().size() - 1;
		}

		StageResult run() throws FulmargapException {
			long startMs = StageRunner.this.clock.getAsLong();
			Deadline deadline = stageDeadline(startMs);
			StageRunner.this.retries.firstAttempt(this.stage.service());
			for (int attempt = 0;; attempt++) {
				try (Reservation reservation = reserve(deadline)) {
					StageAnswer answer = attempt(reservation, attempt, deadline);
					long durationMs = StageRunner.this.clock.getAsLong() - startMs;
					String output = this.stage.kind().isStreamed() ? this.streamed.toString() : answer.output();
					return new StageResult(output,
							new StageReport(this.stage.name(), reservation.endpoint(), attempt + 1, durationMs));
				}
				catch (EndpointException ex) {
					checkRetry(ex, attempt, deadline);
				}
				finally {
					StageRunner.this.capacity.changed();
				}
			}
		}

		private Deadline stageDeadline(long nowMs) {
			return new Deadline(nowMs + StageRunner.this.budgets.limitMs(this.request.pipeline(), this.index,
					this.request.deadline(), nowMs));
		}

		private Reservation reserve(Deadline deadline) throws FulmargapException {
			while (true) {
				long nowMs = StageRunner.this.clock.getAsLong();
				if (deadline.isPassed(nowMs)) {
					throw unanswered("NO_ENDPOINT", "no endpoint of service " + this.stage.service()
							+ " had capacity for stage " + this.stage.name() + " in time");
				}
				long seen = StageRunner.this.capacity.version();
				Optional<Reservation> reservation = StageRunner.this.router.select(route(), nowMs);
				if (reservation.isPresent()) {
					return reservation.get();
				}
				if (allExcluded()) {
					if (this.action) {
						throw unanswered("NO_ENDPOINT",
								"every endpoint of service " + this.stage.service() + " refused the request");
					}
					this.excluded.clear();
				}
				if (!StageRunner.this.capacity.await(seen, deadline.remainingMs(nowMs))) {
					throw unanswered("SHUTDOWN", "the entry VM stopped before stage " + this.stage.name());
				}
			}
		}

		private boolean allExcluded() {
			for (var entry : this.request.configuration().endpoints().entrySet()) {
				EndpointSpec spec = entry.getValue();
				if (spec.service().equals(this.stage.service()) && !this.excluded.contains(entry.getKey())) {
					return false;
				}
			}
			return !this.excluded.isEmpty();
		}

		private RouteRequest route() {
			boolean generate = this.stage.kind().isStreamed();
			String prefix = generate ? this.input.substring(0, Math.min(PREFIX_CHARS, this.input.length())) : "";
			int tokens = generate ? this.input.length() / CHARS_PER_TOKEN : 0;
			return new RouteRequest(this.stage.service(), prefix, tokens, this.excluded, false,
					this.request.ownDomainOnly());
		}

		private StageAnswer attempt(Reservation reservation, int number, Deadline deadline)
				throws EndpointException, FulmargapException {
			long nowMs = StageRunner.this.clock.getAsLong();
			if (deadline.isPassed(nowMs)) {
				throw unanswered("DEADLINE_PASSED", "the deadline passed before stage " + this.stage.name());
			}
			if (!this.state.mayDispatch(nowMs)) {
				throw new FulmargapException(FailureType.NOT_RUN, "CLAIM_ABANDONED",
						"the claim of the idempotency key was given up before dispatch");
			}
			AttemptId id = new AttemptId(this.request.incarnation(), this.request.number(), this.index, number);
			long remainingMs = deadline.remainingMs(nowMs);
			StageRunner.this.log.dispatched(this.request, this.stage, id, reservation.endpoint(), remainingMs);
			StageCall call = new StageCall(reservation.endpoint(), reservation.spec().url(), this.stage.kind(), id,
					this.input, this.stage.maxTokens(), this.streamedTokens, this.request.priority(), deadline,
					(this.stage.kind() == StageKind.ACTION) ? this.request.idempotencyKey() : Optional.empty(),
					Math.max(1, StageRunner.this.router.progressLimitMs(this.stage.service(), remainingMs)),
					!this.action);
			try {
				StageAnswer answer = StageRunner.this.client.call(call, sink());
				return accepted(reservation, id, answer);
			}
			catch (EndpointException ex) {
				long failedAtMs = StageRunner.this.clock.getAsLong();
				if (!ex.isReceiverGone()) {
					reservation.failed(ex.failure(), failedAtMs);
				}
				if (ex.dispatchState().mayHaveRun()) {
					this.state.reached(this.action ? RunState.ACTED : RunState.COMPUTED);
				}
				StageRunner.this.log.failed(this.request, this.stage, id, reservation.endpoint(), ex);
				this.excluded.add(reservation.endpoint());
				throw ex;
			}
		}

		private StageAnswer accepted(Reservation reservation, AttemptId id, StageAnswer answer)
				throws FulmargapException {
			long nowMs = StageRunner.this.clock.getAsLong();
			this.state.reached(this.action ? RunState.ACTED : RunState.COMPUTED);
			reservation.succeeded(answer.durationMs(), answer.cachedTokens(), answer.incarnation(), nowMs);
			StageRunner.this.log.answered(this.request, this.stage, id, reservation.endpoint(), answer);
			if (!this.state.accept(id)) {
				throw new FulmargapException(FailureType.STAGE_FAILED, "SECOND_RESULT",
						"stage " + this.stage.name() + " already has a result");
			}
			return answer;
		}

		private TokenSink sink() {
			return (index, text) -> {
				this.streamed.append(text);
				this.streamedTokens = index + 1;
				if (this.last) {
					this.state.token(StageRunner.this.clock.getAsLong());
					this.request.sink().token(index, text);
				}
			};
		}

		private void checkRetry(EndpointException ex, int attempt, Deadline deadline) throws FulmargapException {
			long nowMs = StageRunner.this.clock.getAsLong();
			if (ex.isReceiverGone()) {
				throw unanswered("CALLER_GONE", "the caller closed the connection");
			}
			if (this.action && ex.dispatchState().mayHaveRun()) {
				throw new FulmargapException(FailureType.OUTCOME_UNKNOWN, ex.failure().name(), "stage "
						+ this.stage.name() + " was sent and may have run, but no answer came: " + ex.getMessage(), ex);
			}
			if (deadline.isPassed(nowMs)) {
				throw unanswered(ex.failure().name(),
						"the deadline passed in stage " + this.stage.name() + ": " + ex.getMessage());
			}
			if (!ex.isRepeatable() || !StageRunner.this.retries.tryRetry(this.stage.service(), attempt + 1)) {
				throw failed(ex.failure().name(),
						"stage " + this.stage.name() + " failed on its last attempt: " + ex.getMessage());
			}
		}

		// The failure of a request that ran out of time.
		private FulmargapException unanswered(String reason, String message) {
			return new FulmargapException(
					(this.state.runState() == RunState.NOT_RUN) ? FailureType.NOT_RUN : FailureType.DEADLINE_EXCEEDED,
					reason, message);
		}

		// The failure of a request that may not be repeated any more.
		private FulmargapException failed(String reason, String message) {
			return new FulmargapException(
					(this.state.runState() == RunState.NOT_RUN) ? FailureType.NOT_RUN : FailureType.STAGE_FAILED,
					reason, message);
		}

	}

}
