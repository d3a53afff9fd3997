package org.fulmargap.rollout;

import java.util.Collection;

/**
 * Compares the answers of two software versions on the same routes over the same time.
 */
final class VersionEvidence {

	/** Fewer bad answers are no evidence, in answers. */
	private static final int MIN_BAD_ANSWERS = 5;

	/** Fewer bad answers don't keep the share from rising, in answers. */
	private static final int MIN_SUSPECT_ANSWERS = 2;

	/**
	 * From this many bad answers on, those of a single endpoint count as well, in
	 * answers. Operators bound what follows the 50th.
	 */
	private static final int MAX_BAD_ANSWERS_OF_ONE_ENDPOINT = 25;

	/**
	 * The half width of the confidence intervals, in standard deviations: about one in a
	 * hundred on each side, because the comparison is repeated with each heartbeat.
	 */
	private static final double CONFIDENCE = 2.3;

	/**
	 * The half width for the answers of the last seconds, which differ more from one
	 * heartbeat to the next. 2.3 reverted 6 of 200 good versions at 15 % failures of both
	 * versions, 2.8 reverts 2.
	 */
	private static final double RECENT_CONFIDENCE = 2.8;

	/**
	 * A share of bad answers that is higher by less than this is not the fault of a
	 * version.
	 */
	private static final double MIN_DIFFERENCE = 0.03;

	private VersionEvidence() {
	}

	/**
	 * Returns whether the new version is worse on one of the routes or on all together.
	 * @param routes the answers by route
	 * @return {@code true} if the difference is statistically significant
	 */
	static boolean isWorse(Collection<RouteCounts> routes) {
		return isWorse(routes, CONFIDENCE);
	}

	/**
	 * Returns whether the new version has been worse in the last seconds.
	 * @param routes the answers of the last seconds by route
	 * @return {@code true} if the difference is statistically significant
	 */
	static boolean isRecentlyWorse(Collection<RouteCounts> routes) {
		return isWorse(routes, RECENT_CONFIDENCE);
	}

	private static boolean isWorse(Collection<RouteCounts> routes, double confidence) {
		RouteCounts all = routes.stream().reduce(RouteCounts.NONE, RouteCounts::plus);
		return isWorse(all, confidence) || routes.stream().anyMatch((counts) -> isWorse(counts, confidence));
	}

	private static boolean isWorse(RouteCounts counts, double confidence) {
		AnswerCounts updated = counts.updated();
		AnswerCounts compared = (updated.bad() >= MAX_BAD_ANSWERS_OF_ONE_ENDPOINT) ? updated
				: counts.updatedWithoutWorst();
		return compared.bad() >= MIN_BAD_ANSWERS
				&& lowerBound(compared, confidence) > upperBound(counts.old(), confidence) + MIN_DIFFERENCE;
	}

	/**
	 * Returns whether bad answers of the new version may become evidence, so that it
	 * should not get more requests yet.
	 * @param routes the answers by route
	 * @return {@code true} if it has several bad answers and a higher share of them
	 */
	static boolean isSuspect(Collection<RouteCounts> routes) {
		RouteCounts all = routes.stream().reduce(RouteCounts.NONE, RouteCounts::plus);
		AnswerCounts updated = all.updatedWithoutWorst();
		return updated.bad() >= MIN_SUSPECT_ANSWERS && share(updated) > 2 * share(all.old()) + MIN_DIFFERENCE;
	}

	private static double share(AnswerCounts counts) {
		return (counts.answered() > 0) ? counts.bad() / (double) counts.answered() : 0;
	}

	// The bounds of the Wilson score interval of the share of bad answers.
	private static double lowerBound(AnswerCounts counts, double confidence) {
		return (counts.answered() > 0) ? Math.max(0, center(counts, confidence) - halfWidth(counts, confidence)) : 0;
	}

	private static double upperBound(AnswerCounts counts, double confidence) {
		// Without answers of the old version, nothing is known of what is usual, and bad
		// answers are taken as the fault of the new one.
		return (counts.answered() > 0) ? Math.min(1, center(counts, confidence) + halfWidth(counts, confidence)) : 0;
	}

	private static double center(AnswerCounts counts, double confidence) {
		double n = counts.answered();
		double share = counts.bad() / n;
		return (share + confidence * confidence / (2 * n)) / (1 + confidence * confidence / n);
	}

	private static double halfWidth(AnswerCounts counts, double confidence) {
		double n = counts.answered();
		double share = counts.bad() / n;
		double variance = share * (1 - share) / n + confidence * confidence / (4 * n * n);
		return confidence / (1 + confidence * confidence / n) * Math.sqrt(variance);
	}

}
