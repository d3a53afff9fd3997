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

	private final StageRunner stages;

	private final Invariants invariants;

	private final LongSupplier clock;

	/**
	 * Creates an executor.
	 * @param router chooses endpoints
	 * @param client calls endpoints
	 * @param retries limits the load that retries add
	 * @param watch learns from answers and failures of endpoints
	 * @param invariants checks conditions that must always hold
	 * @param log receives events of stages
	 * @param clock the source of the present time in milliseconds since the epoch
	 */
	public PipelineExecutor(Router router, EndpointClient client, RetryBudget retries, EndpointMonitor watch,
			Invariants invariants, StageLog log, LongSupplier clock) {
		this.stages = new StageRunner(router, client, retries, watch, log, clock);
		this.invariants = invariants;
		this.clock = clock;
	}

	/**
	 * Runs a request to its end, which comes soon after the deadline at the latest.
	 * @param request the request
	 * @return the answer or the failure
	 */
	public PipelineResult run(PipelineRequest request) {
		RequestState state = new RequestState(request, this.invariants);
		List<StageReport> reports = new ArrayList<>();
		String text = request.input();
		try {
			List<StageSpec> specs = request.pipeline().stages();
			for (int index = 0; index < specs.size(); index++) {
				StageRunner.StageResult result = this.stages.run(request, state, index, text);
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
