package org.fulmargap.batch;

import java.util.List;

import org.fulmargap.catalog.StageCapacity;

/**
 * Estimates when the stages of a new request would be done. On days of high load one
 * service is the bottleneck: the request waits there for the work items before it, and
 * spends the time of one call in each of its stages.
 */
public final class PipelineEstimate {

	/** The part of a full batch that a usual call holds. */
	private static final double USUAL_BATCH_SHARE = 0.5;

	/** With fewer endpoints than this, the next one to come back is counted on. */
	private static final double LEAST_ENDPOINTS = 0.5;

	private PipelineEstimate() {
	}

	/**
	 * Estimates the time.
	 * @param stages the stages in which the request has work items
	 * @return the time in milliseconds
	 */
	public static double stagesMs(List<StageLoad> stages) {
		int deepest = stages.stream().mapToInt(StageLoad::depth).max().orElse(0);
		double longestMs = 0;
		for (StageLoad stage : stages) {
			// While the stages before run, the queue of this one becomes shorter.
			double beforeMs = (stage.depth() - 1) * stage.usualCallMs();
			double restMs = (deepest - stage.depth() + 1) * stage.usualCallMs();
			longestMs = Math.max(longestMs, Math.max(stage.waitMs(), beforeMs) + restMs);
		}
		return longestMs;
	}

	/**
	 * Estimates the time without other requests.
	 * @param stages the stages in which the request has work items
	 * @return the time in milliseconds
	 */
	public static double unloadedMs(List<StageLoad> stages) {
		return stages.stream().mapToDouble((stage) -> stage.depth() * stage.usualCallMs()).max().orElse(0);
	}

	/**
	 * The load of the service of one stage.
	 *
	 * @param capacity what one endpoint can take
	 * @param endpoints the endpoints that work, in units of endpoints of usual speed
	 * @param itemsAhead the work items that go before those of the request
	 * @param depth the stages on the longest way to the end of this one, itself included
	 */
	public record StageLoad(StageCapacity capacity, double endpoints, int itemsAhead, int depth) {

		private double waitMs() {
			double fullMs = this.capacity.callOverheadMs() + this.capacity.batch() * this.capacity.itemMs();
			return this.itemsAhead * fullMs / this.capacity.batch() / Math.max(LEAST_ENDPOINTS, this.endpoints);
		}

		private double usualCallMs() {
			return this.capacity.callOverheadMs() + this.capacity.batch() * USUAL_BATCH_SHARE * this.capacity.itemMs();
		}

	}

}
