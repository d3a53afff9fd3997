package org.fulmargap.admission;

import java.util.Objects;
import java.util.function.ToIntFunction;
import java.util.function.ToLongFunction;

import org.fulmargap.config.PipelineSpec;
import org.fulmargap.config.StageSpec;
import org.fulmargap.request.Deadline;

/**
 * Divides the time until the deadline among the stages of a pipeline.
 */
public final class StageBudgets {

	private final ToLongFunction<String> expectedStageMs;

	/**
	 * Creates an instance.
	 * @param expectedStageMs returns the expected duration of a stage call in
	 * milliseconds by service, zero if it is unknown
	 */
	public StageBudgets(ToLongFunction<String> expectedStageMs) {
		this.expectedStageMs = Objects.requireNonNull(expectedStageMs, "expectedStageMs");
	}

	/**
	 * Returns the total expected time of a stage and the stages after it.
	 * @param pipeline the pipeline
	 * @param fromStage the index of the first stage to include
	 * @return milliseconds
	 */
	public long expectedMs(PipelineSpec pipeline, int fromStage) {
		return pipeline.stages()
			.stream()
			.skip(fromStage)
			.mapToLong((stage) -> this.expectedStageMs.applyAsLong(stage.service()))
			.sum();
	}

	/**
	 * Returns the time that a stage may use.
	 * @param pipeline the pipeline
	 * @param stageIndex the index of the stage
	 * @param deadline the deadline of the request
	 * @param nowMs the current time in milliseconds since the epoch
	 * @return milliseconds, zero if the later stages are not expected to end before the
	 * deadline
	 */
	public long limitMs(PipelineSpec pipeline, int stageIndex, Deadline deadline, long nowMs) {
		return Math.max(0, deadline.remainingMs(nowMs) - expectedMs(pipeline, stageIndex + 1));
	}

	/**
	 * Returns the number of requests of a pipeline that may run at the same time. A
	 * request occupies a stage only for a part of its total time, so each stage admits
	 * its concurrency share multiplied by the total time and divided by the stage time.
	 * The stage that admits the fewest requests sets the limit.
	 * @param pipeline the pipeline
	 * @param share returns the number of concurrent calls that this entry VM may make by
	 * service
	 * @return the number of slots, at least one
	 */
	public int slots(PipelineSpec pipeline, ToIntFunction<String> share) {
		long totalMs = Math.max(1, expectedMs(pipeline, 0));
		long slots = Long.MAX_VALUE;
		for (StageSpec stage : pipeline.stages()) {
			long stageMs = this.expectedStageMs.applyAsLong(stage.service());
			if (stageMs > 0) {
				slots = Math.min(slots, share.applyAsInt(stage.service()) * totalMs / stageMs);
			}
		}
		if (slots == Long.MAX_VALUE) {
			slots = pipeline.stages().stream().mapToInt((stage) -> share.applyAsInt(stage.service())).min().orElse(1);
		}
		// One more slot keeps the limiting stage busy while a request is in the others.
		return (int) Math.max(1, Math.min(slots + 1, Integer.MAX_VALUE));
	}

}
