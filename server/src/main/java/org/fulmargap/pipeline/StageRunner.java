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
import org.fulmargap.routing.CallFailure;
import org.fulmargap.routing.CrashQuarantine;
import org.fulmargap.routing.Reservation;
import org.fulmargap.routing.RouteRequest;
import org.fulmargap.routing.Router;

/**
 * Runs one stage: selects endpoints and retries failed attempts where that is safe.
 */
final class StageRunner {

	/** Characters per prompt token, a usual average for European languages. */
	private static final int CHARS_PER_TOKEN = 4;

	/** The first characters of a prompt that identify its prefix for cache affinity. */
	private static final int PREFIX_CHARS = 256;

	private final Router router;

	private final EndpointClient client;

	private final RetryBudget retryBudget;

	private final EndpointMonitor monitor;

	private final StageLog log;

	private final LongSupplier clock;

	private final StageBudgets budgets;

	private final CapacityWait capacityWait = new CapacityWait();

	StageRunner(Router router, EndpointClient client, RetryBudget retryBudget, EndpointMonitor monitor, StageLog log,
			LongSupplier clock) {
		this.router = router;
		this.client = client;
		this.budgets = new StageBudgets(router::expectedStageMs);
		this.retryBudget = retryBudget;
		this.monitor = monitor;
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
	 * @param report the summary of the stage
	 */
	record StageResult(String output, StageReport report) {
	}

	/**
	 * The attempts to run one stage of one request.
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

		private final StringBuilder streamedText = new StringBuilder();

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
			StageRunner.this.retryBudget.recordFirstAttempt(this.stage.service());
			for (int attempt = 0;; attempt++) {
				try (Reservation reservation = reserve(deadline)) {
					StageAnswer answer = attempt(reservation, attempt, deadline);
					long durationMs = StageRunner.this.clock.getAsLong() - startMs;
					String output = this.stage.kind().isStreamed() ? this.streamedText.toString() : answer.output();
					return new StageResult(output,
							new StageReport(this.stage.name(), reservation.endpoint(), attempt + 1, durationMs));
				}
				catch (EndpointException ex) {
					checkRetry(ex, attempt, deadline);
				}
				finally {
					StageRunner.this.capacityWait.signalChange();
				}
			}
		}

		private Deadline stageDeadline(long nowMs) {
			long remainingMs = this.request.deadline().remainingMs(nowMs);
			int remainingStages = this.request.pipeline().stages().size() - this.index;
			// The expected durations are medians of past calls and may be too high after
			// an incident. A minimum share of the time lets calls complete, which
			// corrects the medians.
			long minimumMs = remainingMs / (2L * remainingStages);
			return new Deadline(nowMs + Math.max(minimumMs, StageRunner.this.budgets.limitMs(this.request.pipeline(),
					this.index, this.request.deadline(), nowMs)));
		}

		private Reservation reserve(Deadline deadline) throws FulmargapException {
			while (true) {
				long nowMs = StageRunner.this.clock.getAsLong();
				if (deadline.isPassed(nowMs)) {
					throw unfinishedFailure("NO_ENDPOINT", "no endpoint of service " + this.stage.service()
							+ " had free capacity for stage " + this.stage.name() + " before the deadline");
				}
				long seenVersion = StageRunner.this.capacityWait.version();
				CrashQuarantine.Verdict verdict = StageRunner.this.monitor.verdict(this.request.fingerprint());
				if (!verdict.mayRun()) {
					throw new FulmargapException(FailureType.REQUEST_QUARANTINED, "REQUEST_QUARANTINED",
							"this request crashed several endpoints and is refused until its quarantine expires");
				}
				boolean isolated = verdict == CrashQuarantine.Verdict.ISOLATED;
				Set<String> suspected = isolated
						? StageRunner.this.monitor.suspectedEndpoints(this.request.fingerprint()) : Set.of();
				Optional<Reservation> reservation = StageRunner.this.router.select(route(suspected, isolated), nowMs);
				if (reservation.isPresent()) {
					return reservation.get();
				}
				if (allExcluded(suspected)) {
					if (this.action || allExcluded(suspected, Set.of())) {
						throw attemptsExhausted("NO_ENDPOINT",
								"no endpoint of service " + this.stage.service() + " is left for another attempt");
					}
					this.excluded.clear();
				}
				if (!StageRunner.this.capacityWait.await(seenVersion, deadline.remainingMs(nowMs))) {
					throw unfinishedFailure("SHUTDOWN", "the entry VM stopped before stage " + this.stage.name());
				}
			}
		}

		private boolean allExcluded(Set<String> suspected) {
			return !this.excluded.isEmpty() && allExcluded(suspected, this.excluded);
		}

		private boolean allExcluded(Set<String> suspected, Set<String> failed) {
			for (var entry : this.request.configuration().endpoints().entrySet()) {
				EndpointSpec spec = entry.getValue();
				if (spec.service().equals(this.stage.service()) && !suspected.contains(entry.getKey())
						&& !failed.contains(entry.getKey())) {
					return false;
				}
			}
			return true;
		}

		private RouteRequest route(Set<String> suspected, boolean isolated) {
			boolean generate = this.stage.kind().isStreamed();
			String prefix = generate ? this.input.substring(0, Math.min(PREFIX_CHARS, this.input.length())) : "";
			int tokens = generate ? this.input.length() / CHARS_PER_TOKEN : 0;
			Set<String> avoided = new HashSet<>(this.excluded);
			avoided.addAll(suspected);
			return new RouteRequest(this.stage.service(), prefix, tokens, avoided, isolated,
					this.request.ownDomainOnly());
		}

		private StageAnswer attempt(Reservation reservation, int number, Deadline deadline)
				throws EndpointException, FulmargapException {
			long nowMs = StageRunner.this.clock.getAsLong();
			if (deadline.isPassed(nowMs)) {
				throw unfinishedFailure("DEADLINE_PASSED", "the deadline passed before stage " + this.stage.name());
			}
			if (!this.state.tryDispatch(nowMs)) {
				throw new FulmargapException(FailureType.NOT_RUN, "CLAIM_ABANDONED",
						"the claim of the idempotency key was abandoned or has expired");
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
				return acceptAnswer(reservation, id, answer);
			}
			catch (EndpointException ex) {
				long failedAtMs = StageRunner.this.clock.getAsLong();
				if (!ex.isSinkFailure()) {
					reservation.failed(ex.failure(), failedAtMs);
				}
				if (ex.dispatchState().mayHaveRun()) {
					this.state.advanceTo(this.action ? RunState.ACTED : RunState.COMPUTED);
				}
				StageRunner.this.log.failed(this.request, this.stage, id, reservation.endpoint(), ex);
				String incarnation = StageRunner.this.monitor.incarnation(reservation.endpoint());
				StageRunner.this.monitor.failed(reservation.endpoint(), this.request.fingerprint(), ex);
				// If the request crashed this endpoint, the crash report must be stored
				// before the retry. Otherwise the request could crash a third endpoint
				// before it is quarantined.
				if (ex.failure() == CallFailure.CONNECTION_LOST
						&& StageRunner.this.client.hasCrashed(reservation.spec().url(), incarnation)) {
					StageRunner.this.monitor.connectionRefused(reservation.endpoint());
				}
				this.excluded.add(reservation.endpoint());
				throw ex;
			}
		}

		private StageAnswer acceptAnswer(Reservation reservation, AttemptId id, StageAnswer answer)
				throws FulmargapException {
			long nowMs = StageRunner.this.clock.getAsLong();
			this.state.advanceTo(this.action ? RunState.ACTED : RunState.COMPUTED);
			reservation.succeeded(answer.durationMs(), answer.cachedTokens(), answer.incarnation(), nowMs);
			StageRunner.this.monitor.answered(reservation.endpoint(), this.request.fingerprint(), answer.incarnation(),
					answer.leaving());
			StageRunner.this.log.answered(this.request, this.stage, id, reservation.endpoint(), answer);
			if (!this.state.accept(id)) {
				throw new FulmargapException(FailureType.STAGE_FAILED, "SECOND_RESULT",
						"stage " + this.stage.name() + " already has a result");
			}
			return answer;
		}

		private TokenSink sink() {
			return (index, text) -> {
				this.streamedText.append(text);
				this.streamedTokens = index + 1;
				if (this.last) {
					this.state.recordToken(StageRunner.this.clock.getAsLong());
					this.request.sink().token(index, text);
				}
			};
		}

		private void checkRetry(EndpointException ex, int attempt, Deadline deadline) throws FulmargapException {
			long nowMs = StageRunner.this.clock.getAsLong();
			if (ex.isSinkFailure()) {
				throw unfinishedFailure("CALLER_GONE", "the caller closed the connection");
			}
			if (this.action && ex.dispatchState().mayHaveRun()) {
				throw new FulmargapException(FailureType.OUTCOME_UNKNOWN, ex.failure().name(), "stage "
						+ this.stage.name() + " was sent and may have run, but no answer arrived: " + ex.getMessage(),
						ex);
			}
			if (deadline.isPassed(nowMs)) {
				throw unfinishedFailure(ex.failure().name(),
						"the deadline passed in stage " + this.stage.name() + ": " + ex.getMessage());
			}
			if (!ex.isRetryable() || !StageRunner.this.retryBudget.tryRetry(this.stage.service(), attempt + 1)) {
				throw attemptsExhausted(ex.failure().name(),
						"stage " + this.stage.name() + " failed on its last attempt: " + ex.getMessage());
			}
		}

		// The failure of a request that ended before its stages did, for example at its
		// deadline.
		private FulmargapException unfinishedFailure(String reason, String message) {
			return new FulmargapException(
					(this.state.runState() == RunState.NOT_RUN) ? FailureType.NOT_RUN : FailureType.DEADLINE_EXCEEDED,
					reason, message);
		}

		// The failure of a request for which no further attempt is possible.
		private FulmargapException attemptsExhausted(String reason, String message) {
			return new FulmargapException(
					(this.state.runState() == RunState.NOT_RUN) ? FailureType.NOT_RUN : FailureType.STAGE_FAILED,
					reason, message);
		}

	}

}
