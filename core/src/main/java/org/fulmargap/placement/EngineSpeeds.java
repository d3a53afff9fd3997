package org.fulmargap.placement;

import java.util.List;

/**
 * Compares the learned speeds of the engines of a service. The expected times are only
 * approximate, so only the differences between engines count.
 */
final class EngineSpeeds {

	/**
	 * The ratio to the usual speed from which on the speed of an engine differs clearly.
	 * Machines differ by up to 2.4 times.
	 */
	static final double CLEAR_DIFFERENCE = 1.5;

	private final double usualRatio;

	private final boolean differ;

	private final long nowMs;

	EngineSpeeds(List<Endpoint> engines, long nowMs) {
		double[] ratios = engines.stream()
			.flatMapToDouble((engine) -> engine.engineSpeed().ratio().stream())
			.sorted()
			.toArray();
		// The lower one of two medians, so that of two engines the faster one is usual.
		this.usualRatio = (ratios.length > 0) ? ratios[(ratios.length - 1) / 2] : 1;
		this.differ = ratios.length > 1 && (ratios[ratios.length - 1] >= this.usualRatio * CLEAR_DIFFERENCE
				|| ratios[0] * CLEAR_DIFFERENCE <= this.usualRatio);
		this.nowMs = nowMs;
	}

	/**
	 * Returns how many times slower than usual an engine is expected to be. It approaches
	 * 1 while nothing is measured, so that an engine that may have recovered gets a
	 * request. Until the first event of that request, it gets no others as a recovered
	 * engine.
	 * @param engine the engine
	 * @return the factor; 1 if nothing was learned, or if no engine differs clearly
	 */
	double factor(Endpoint engine) {
		if (!this.differ) {
			return 1;
		}
		EngineSpeed speed = engine.engineSpeed();
		double factor = speed.ratio().orElse(this.usualRatio) / this.usualRatio;
		double weight = (engine.ownInFlight() == 0) ? speed.weight(this.nowMs) : 1;
		return 1 + (factor - 1) * weight;
	}

}
