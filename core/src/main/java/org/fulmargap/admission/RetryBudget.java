package org.fulmargap.admission;

import java.util.concurrent.ConcurrentHashMap;

/**
 * Bounds the retries of each service to a fraction of its first attempts, so that retries
 * cannot multiply the load of a failing service. Safe for use by several threads.
 */
public final class RetryBudget {

	/** The highest number of attempts per stage of one request. */
	public static final int MAX_ATTEMPTS = 3;

	private static final int TENTHS_PER_RETRY = 10;

	private static final int MAX_TENTHS = 100;

	private final ConcurrentHashMap<String, Integer> tenths = new ConcurrentHashMap<>();

	/**
	 * Records a first attempt, which earns a tenth of a retry.
	 * @param service the service
	 */
	public void recordFirstAttempt(String service) {
		this.tenths.merge(service, MAX_TENTHS, (stored, start) -> Math.min(MAX_TENTHS, stored + 1));
	}

	/**
	 * Takes one retry from the budget of a service. A bucket starts full, so that a
	 * freshly started entry VM can replace the attempts that meet a dead endpoint.
	 * @param service the service
	 * @param attempts the attempts that the request made at this stage so far
	 * @return {@code true} if another attempt may be made
	 */
	public boolean tryRetry(String service, int attempts) {
		if (attempts >= MAX_ATTEMPTS) {
			return false;
		}
		boolean[] taken = new boolean[1];
		this.tenths.compute(service, (name, stored) -> {
			int present = (stored != null) ? stored : MAX_TENTHS;
			taken[0] = present >= TENTHS_PER_RETRY;
			return (taken[0]) ? present - TENTHS_PER_RETRY : present;
		});
		return taken[0];
	}

}
