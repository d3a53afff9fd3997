package org.fulmargap.rollout;

/**
 * The phases of a rollout in progress, in their order.
 */
public enum RolloutPhase {

	/** No requests: the new endpoints have not started, or nothing is known of them. */
	WAITING {
		@Override
		double share(RolloutLimits limits, double expectedRequests) {
			return 0;
		}
	},

	/**
	 * A few requests to all new endpoints, to notice at little cost what fails at once.
	 */
	CANARY {
		@Override
		double share(RolloutLimits limits, double expectedRequests) {
			return boundedShare(CANARY_PART, limits, expectedRequests);
		}
	},

	/**
	 * A small share that a few new endpoints get in turn, to notice what fails later or
	 * under load.
	 */
	OBSERVATION {
		@Override
		double share(RolloutLimits limits, double expectedRequests) {
			return boundedShare(OBSERVATION_PART, limits, expectedRequests);
		}
	},

	/** A large part of the requests for a short time. */
	RAMP {
		@Override
		double share(RolloutLimits limits, double expectedRequests) {
			return RAMP_SHARE;
		}
	},

	/** All requests, while those at old endpoints come to their end. */
	FULL {
		@Override
		double share(RolloutLimits limits, double expectedRequests) {
			return 1;
		}
	};

	/** The part of the exposure bound that a canary would use up over the whole time. */
	private static final double CANARY_PART = 0.25;

	/**
	 * The part of the exposure bound that the observation would use up over the whole
	 * time. The rest is saved for the time between a fault at a high share and the end of
	 * the rollback.
	 */
	private static final double OBSERVATION_PART = 0.4;

	private static final double RAMP_SHARE = 0.3;

	/**
	 * Returns the share of the requests that the new version gets.
	 * @param limits the bounds of what a bad version may get
	 * @param expectedRequests the requests to the service within the whole time limit
	 * @return the share, from 0 to 1
	 */
	abstract double share(RolloutLimits limits, double expectedRequests);

	private static double boundedShare(double part, RolloutLimits limits, double expectedRequests) {
		double bound = limits.exposureShare() + limits.exposureSlack() / Math.max(1, expectedRequests);
		return Math.min(RAMP_SHARE, part * bound);
	}

	/**
	 * Returns whether only so few new endpoints get the requests that each carries at
	 * least the load of an old one.
	 * @return {@code true} for the observation
	 */
	public boolean isConcentrated() {
		return this == OBSERVATION;
	}

	/**
	 * Returns whether each VM by itself keeps its part of the exposure bound. In later
	 * phases, only the coordinator knows how much of the bound is left.
	 * @return {@code true} before the share rises
	 */
	public boolean isBounded() {
		return compareTo(RAMP) < 0;
	}

	RolloutPhase next() {
		return (this == FULL) ? FULL : values()[ordinal() + 1];
	}

}
