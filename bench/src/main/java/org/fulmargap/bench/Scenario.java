package org.fulmargap.bench;

/**
 * Load and faults of a simulation run.
 */
enum Scenario {

	/** Constant load at 55 percent of the capacity. */
	STEADY,

	/** Twice the capacity in the second and third quarter. */
	BURST,

	/** One model server is ten times slower in the second and third quarter. */
	SLOW_ENDPOINT,

	/** Two model servers become cold without a restart after a third of the run. */
	COLD_AGAIN,

	/**
	 * A failure domain is taken out of service after a third of the run and is back in
	 * service after two thirds.
	 */
	DOMAIN_OUT_AND_BACK,

	/**
	 * The log accepts no claims in the middle third of the run. Answers of some actions
	 * are lost throughout the run.
	 */
	LOG_OUT,

	/**
	 * A request that crashes model servers arrives after a third of the run and is resent
	 * up to 20 times.
	 */
	CRASHING_REQUEST;

	/** Twice the capacity, relative to the steady load. */
	private static final double BURST_FACTOR = 2 / 0.55;

	double rateFactor(double progress) {
		return (this == BURST && progress >= 0.25 && progress < 0.75) ? BURST_FACTOR : 1;
	}

	// Returns the fraction of the model servers that is in service at a point of the run,
	// which is given as a fraction of its duration.
	double capacityFactor(double progress) {
		return (this == DOMAIN_OUT_AND_BACK && progress >= 1 / 3.0 && progress < 2 / 3.0) ? 5 / 8.0 : 1;
	}

	boolean losesAnswers() {
		return this == LOG_OUT;
	}

	String label() {
		return name().toLowerCase(java.util.Locale.ROOT);
	}

}
