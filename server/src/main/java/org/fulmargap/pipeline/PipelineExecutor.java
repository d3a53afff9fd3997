package org.fulmargap.pipeline;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;

import org.fulmargap.admission.RetryBudget;
import org.fulmargap.config.StageSpec;
import org.fulmargap.endpoint.EndpointClient;
import org.fulmargap.request.FulmargapException;
import org.fulmargap.routing.Router;
import org.fulmargap.timeline.Invariants;

/**
 * Runs the stages of a request in order, each within its share of the deadline.
 */
public final class PipelineExecutor {

	private final StageRunner stageRunner;

	private final Invariants invariants;

	private final LongSupplier clock;

	/**
	 * Creates an executor.
	 * @param router selects endpoints
	 * @param client calls endpoints
	 * @param retryBudget limits the load that retries add
	 * @param monitor records the successes and failures of calls to endpoints
	 * @param invariants checks conditions that must always hold
	 * @param log records the attempts of stages
	 * @param clock the source of the current time in milliseconds since the epoch
	 */
	public PipelineExecutor(Router router, EndpointClient client, RetryBudget retryBudget, EndpointMonitor monitor,
			Invariants invariants, StageLog log, LongSupplier clock) {
		this.stageRunner = new StageRunner(router, client, retryBudget, monitor, log, clock);
		this.invariants = invariants;
		this.clock = clock;
	}

	/**
	 * Runs a request and blocks until it succeeds or fails, which happens shortly after
	 * its deadline at the latest.
	 * @param request the request
	 * @return the output or the failure
	 */
	public PipelineResult run(PipelineRequest request) {
		RequestState state = new RequestState(request, this.invariants);
		List<StageReport> reports = new ArrayList<>();
		String text = request.input();
		try {
			List<StageSpec> specs = request.pipeline().stages();
			for (int index = 0; index < specs.size(); index++) {
				StageRunner.StageResult result = this.stageRunner.run(request, state, index, text);
				text = result.output();
				reports.add(result.report());
			}
		}
		catch (FulmargapException ex) {
			return result(request, state, Optional.of(ex), "", reports);
		}
		return result(request, state, Optional.empty(), text, reports);
	}

	private PipelineResult result(PipelineRequest request, RequestState state, Optional<FulmargapException> failure,
			String output, List<StageReport> reports) {
		long nowMs = this.clock.getAsLong();
		return new PipelineResult(failure, output, state.firstTokenAtMs(nowMs) - request.acceptedAtMs(),
				nowMs - request.acceptedAtMs(), List.copyOf(reports), state.runState());
	}

}
