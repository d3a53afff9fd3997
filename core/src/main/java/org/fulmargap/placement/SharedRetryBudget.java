package org.fulmargap.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * The share of this entry VM in the retries that a service may get from all entry VMs
 * within a time window. A token bucket for each service. Confined to one thread.
 */
public final class SharedRetryBudget {

	/**
	 * The share of the configured limits that is used. The rest covers VMs that disagree
	 * on the number of entry VMs.
	 */
	private static final double SAFETY = 0.7;

	private final Map<String, Bucket> buckets = new HashMap<>();

	private final double ratio;

	private final double slack;

	private final long windowMs;

	/**
	 * Creates a budget.
	 * @param ratio the number of retries that each first request adds to the budget
	 * @param slack the number of further retries per window, of all entry VMs together
	 * @param windowMs the length of the window in milliseconds
	 */
	public SharedRetryBudget(double ratio, double slack, long windowMs) {
		this.ratio = ratio * SAFETY;
		this.slack = slack * SAFETY;
		this.windowMs = windowMs;
	}

	/**
	 * Records a first request, which adds a part of a retry to the budget.
	 * @param service the name of the service
	 */
	public void firstRequest(String service) {
		Bucket bucket = this.buckets.computeIfAbsent(service, (name) -> new Bucket());
		bucket.tokens += this.ratio;
	}

	/**
	 * Uses one retry of the budget if there is one.
	 * @param service the name of the service
	 * @param vmCount the number of entry VMs that share the slack
	 * @param nowMs the current time in milliseconds
	 * @return {@code true} if the retry may be made
	 */
	public boolean tryRetry(String service, int vmCount, long nowMs) {
		Bucket bucket = this.buckets.computeIfAbsent(service, (name) -> new Bucket());
		// Half of the share is refilled over the window and at most half is saved up, so
		// that no window exceeds the share.
		double halfShare = this.slack / Math.max(1, vmCount) / 2;
		if (bucket.refilledAtMs == Long.MIN_VALUE) {
			bucket.tokens += halfShare;
		}
		else {
			bucket.tokens += halfShare * (nowMs - bucket.refilledAtMs) / this.windowMs;
		}
		bucket.refilledAtMs = nowMs;
		bucket.tokens = Math.min(bucket.tokens, Math.max(1, halfShare));
		if (bucket.tokens < 1) {
			return false;
		}
		bucket.tokens--;
		return true;
	}

	private static final class Bucket {

		private double tokens;

		private long refilledAtMs = Long.MIN_VALUE;

	}

}
