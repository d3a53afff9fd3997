package org.fulmargap.bench;

/**
 * Load and faults of a run.
 */
enum Scenario {

	/** Constant load at 55 percent of the capacity. */
	STEADY,

	/** Twice the capacity in the second and third quarter. */
	BURST,

	/** One model server is ten times slower in the second and third quarter. */
	SLOW_ENDPOINT,

	/** Two model servers become cold without warning after a third. */
	COLD_AGAIN,

	/** Operators take a failure domain out after a third and in after two thirds. */
	DOMAIN_OUT_AND_BACK,

	/** No claim can be made in the middle third. */
	LOG_OUT,

	/** A request that crashes model servers arrives after a third and is resent. */
	CRASHING_REQUEST;

	private static final double BURST_FACTOR = 2 / 0.55;

	double rateFactor(double part) {
		return (this == BURST && part >= 0.25 && part < 0.75) ? BURST_FACTOR : 1;
	}

	// Returns the part of the model servers that is in service.
	double capacityFactor(double part) {
		return (this == DOMAIN_OUT_AND_BACK && part >= 1 / 3.0 && part < 2 / 3.0) ? 5 / 8.0 : 1;
	}

	boolean losesAnswers() {
		return this == LOG_OUT;
	}

	String label() {
		return name().toLowerCase(java.util.Locale.ROOT);
	}

}
