package org.fulmargap.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * This entry VM's share of the repeats that a service may get from all entry VMs within a
 * window. Confined to one thread.
 */
public final class SharedRetryBudget {

	/** The part of the users' bounds that is used; the rest covers differing views. */
	private static final double SAFETY = 0.7;

	private final Map<String, Bucket> buckets = new HashMap<>();

	private final double ratio;

	private final double slack;

	private final long windowMs;

	/**
	 * Creates a budget.
	 * @param ratio the repeats that each first request earns
	 * @param slack the further repeats a window, of all entry VMs together
	 * @param windowMs the length of the window in milliseconds
	 */
	public SharedRetryBudget(double ratio, double slack, long windowMs) {
		this.ratio = ratio * SAFETY;
		this.slack = slack * SAFETY;
		this.windowMs = windowMs;
	}

	/**
	 * Records a first request, which earns a part of a repeat.
	 * @param service the service
	 */
	public void firstRequest(String service) {
		Bucket bucket = this.buckets.computeIfAbsent(service, (name) -> new Bucket());
		bucket.tokens += this.ratio;
	}

	/**
	 * Takes one repeat.
	 * @param service the service
	 * @param vmCount the entry VMs that share the slack
	 * @param nowMs the present time in milliseconds
	 * @return {@code true} if the repeat may be made
	 */
	public boolean tryRetry(String service, int vmCount, long nowMs) {
		Bucket bucket = this.buckets.computeIfAbsent(service, (name) -> new Bucket());
		// Half of the share is refilled over the window and half may be saved up: no
		// window
		// sees more than the share.
		double share = this.slack / Math.max(1, vmCount) / 2;
		if (bucket.refilledAtMs == Long.MIN_VALUE) {
			bucket.tokens += share;
		}
		else {
			bucket.tokens += share * (nowMs - bucket.refilledAtMs) / this.windowMs;
		}
		bucket.refilledAtMs = nowMs;
		bucket.tokens = Math.min(bucket.tokens, Math.max(1, share));
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
