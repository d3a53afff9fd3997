package org.fulmargap.admission;

import java.util.concurrent.ConcurrentHashMap;

/**
 * Limits the retries of each service to a fraction of its first attempts, so that retries
 * do not multiply the load of a failing service. Safe for use by several threads.
 */
public final class RetryBudget {

	/** The maximum number of attempts per stage of one request. */
	public static final int MAX_ATTEMPTS = 3;

	private static final int TENTHS_PER_RETRY = 10;

	private static final int MAX_TENTHS = 100;

	private final ConcurrentHashMap<String, Integer> tenths = new ConcurrentHashMap<>();

	/**
	 * Records a first attempt, which adds a tenth of a retry to the budget of the
	 * service.
	 * @param service the service
	 */
	public void recordFirstAttempt(String service) {
		this.tenths.merge(service, MAX_TENTHS, (stored, start) -> Math.min(MAX_TENTHS, stored + 1));
	}

	/**
	 * Takes one retry from the budget of a service. A budget starts full, so that an
	 * entry VM that has just started can retry the attempts that fail on a dead endpoint.
	 * @param service the service
	 * @param attempts the number of attempts that the request has made at this stage
	 * @return {@code true} if another attempt may be made
	 */
	public boolean tryRetry(String service, int attempts) {
		if (attempts >= MAX_ATTEMPTS) {
			return false;
		}
		boolean[] taken = new boolean[1];
		this.tenths.compute(service, (name, stored) -> {
			int available = (stored != null) ? stored : MAX_TENTHS;
			taken[0] = available >= TENTHS_PER_RETRY;
			return (taken[0]) ? available - TENTHS_PER_RETRY : available;
		});
		return taken[0];
	}

}
