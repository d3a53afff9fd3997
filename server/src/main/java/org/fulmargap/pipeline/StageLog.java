package org.fulmargap.pipeline;

import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import org.fulmargap.config.StageSpec;
import org.fulmargap.endpoint.EndpointException;
import org.fulmargap.endpoint.StageAnswer;
import org.fulmargap.request.AttemptId;
import org.fulmargap.timeline.EventType;
import org.fulmargap.timeline.Timeline;

/**
 * Records the attempts of stages as events and metrics.
 */
public final class StageLog {

	private final Timeline timeline;

	private final MetricRegistry metrics;

	/**
	 * Creates the log.
	 * @param timeline records an event for each dispatch, answer and failure
	 * @param metrics counts attempts by service and failures by type, and measures
	 * durations by service
	 */
	public StageLog(Timeline timeline, MetricRegistry metrics) {
		this.timeline = timeline;
		this.metrics = metrics;
	}

	void dispatched(PipelineRequest request, StageSpec stage, AttemptId attempt, String endpoint, long budgetMs) {
		this.metrics.counter("stage_attempts." + stage.service()).inc();
		this.timeline.record(EventType.STAGE_DISPATCHED, request.requestId(), request.configVersion(), "stage",
				stage.name(), "attempt", attempt, "endpoint", endpoint, "budget_ms", budgetMs);
	}

	void answered(PipelineRequest request, StageSpec stage, AttemptId attempt, String endpoint, StageAnswer answer) {
		this.metrics.timer("stage_duration." + stage.service()).update(answer.durationMs(), TimeUnit.MILLISECONDS);
		this.timeline.record(EventType.STAGE_ANSWERED, request.requestId(), request.configVersion(), "stage",
				stage.name(), "attempt", attempt, "endpoint", endpoint, "duration_ms", answer.durationMs());
	}

	void failed(PipelineRequest request, StageSpec stage, AttemptId attempt, String endpoint, EndpointException ex) {
		this.metrics.counter("stage_failures." + ex.failure().name()).inc();
		this.timeline.record(EventType.STAGE_FAILED, request.requestId(), request.configVersion(), "stage",
				stage.name(), "attempt", attempt, "endpoint", endpoint, "failure", ex.failure(), "dispatch_state",
				ex.dispatchState(), "detail", ex.getMessage());
	}

}
