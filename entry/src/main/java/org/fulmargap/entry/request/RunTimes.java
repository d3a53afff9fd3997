package org.fulmargap.entry.request;

import java.util.HashMap;
import java.util.Map;

/**
 * How long the runs of each route take, from the call to an endpoint to the end of its
 * answer: a smoothed mean and mean deviation, as in the retransmission timer of TCP.
 * Confined to one thread.
 */
public final class RunTimes {

	private static final double MEAN_GAIN = 0.125;

	private static final double DEVIATION_GAIN = 0.25;

	/** Few runs take longer than the mean plus this multiple of the mean deviation. */
	private static final double DEVIATIONS = 2;

	private final Map<String, Estimate> estimates = new HashMap<>();

	/**
	 * Records a complete run.
	 * @param route the name of the route
	 * @param durationMs the duration in milliseconds
	 */
	public void record(String route, double durationMs) {
		this.estimates.merge(route, new Estimate(durationMs, 0), (known, first) -> known.with(durationMs));
	}

	/**
	 * Returns the time within which most runs end.
	 * @param route the name of the route
	 * @return the duration in milliseconds; 0 if no run was recorded
	 */
	public double longMs(String route) {
		Estimate estimate = this.estimates.get(route);
		return (estimate != null) ? estimate.meanMs + DEVIATIONS * estimate.deviationMs : 0;
	}

	private record Estimate(double meanMs, double deviationMs) {

		private Estimate with(double durationMs) {
			double errorMs = durationMs - this.meanMs;
			return new Estimate(this.meanMs + MEAN_GAIN * errorMs,
					this.deviationMs + DEVIATION_GAIN * (Math.abs(errorMs) - this.deviationMs));
		}

	}

}
