package org.fulmargap.batch;

import java.util.List;

import org.fulmargap.catalog.StageCapacity;

/**
 * Estimates when the stages of a new request would be done. Under high load one service
 * is the bottleneck: the request waits there for the work items ahead of it, and takes
 * the time of one call in each of its stages.
 */
public final class PipelineEstimate {

	/** The size of a usual batch as a share of a full one. */
	private static final double USUAL_BATCH_SHARE = 0.5;

	/**
	 * The lowest number of endpoints that is assumed. With fewer, one is expected to be
	 * available again soon.
	 */
	private static final double MIN_ENDPOINTS = 0.5;

	private PipelineEstimate() {
	}

	/**
	 * Estimates the time until all stages of a new request are done.
	 * @param stages the loads of the stages in which the request has work items
	 * @return the time in milliseconds
	 */
	public static double stagesMs(List<StageLoad> stages) {
		int maxDepth = stages.stream().mapToInt(StageLoad::depth).max().orElse(0);
		double maxMs = 0;
		for (StageLoad stage : stages) {
			// The queue of this stage becomes shorter while its dependencies run.
			double dependenciesMs = (stage.depth() - 1) * stage.usualCallMs();
			double remainingMs = (maxDepth - stage.depth() + 1) * stage.usualCallMs();
			maxMs = Math.max(maxMs, Math.max(stage.waitMs(), dependenciesMs) + remainingMs);
		}
		return maxMs;
	}

	/**
	 * Estimates the time until all stages are done if there are no other requests.
	 * @param stages the loads of the stages in which the request has work items
	 * @return the time in milliseconds
	 */
	public static double unloadedMs(List<StageLoad> stages) {
		return stages.stream().mapToDouble((stage) -> stage.depth() * stage.usualCallMs()).max().orElse(0);
	}

	/**
	 * The load of the service of one stage.
	 *
	 * @param capacity the capacity of one endpoint
	 * @param endpoints the available endpoints, in units of endpoints of usual speed
	 * @param itemsAhead the number of work items ahead of those of the request
	 * @param depth the number of stages on the longest path of dependencies that ends
	 * with this stage, including itself
	 */
	public record StageLoad(StageCapacity capacity, double endpoints, int itemsAhead, int depth) {

		private double waitMs() {
			double fullBatchMs = this.capacity.callOverheadMs() + this.capacity.batch() * this.capacity.itemMs();
			return this.itemsAhead * fullBatchMs / this.capacity.batch() / Math.max(MIN_ENDPOINTS, this.endpoints);
		}

		private double usualCallMs() {
			return this.capacity.callOverheadMs() + this.capacity.batch() * USUAL_BATCH_SHARE * this.capacity.itemMs();
		}

	}

}
