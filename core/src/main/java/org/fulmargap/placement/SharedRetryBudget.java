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

	/**
	 * The part of the window in which retries that first requests have added to the
	 * budget are kept.
	 */
	private static final double KEPT_WINDOW = 0.35;

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
	 * @param nowMs the current time in milliseconds
	 */
	public void firstRequest(String service, long nowMs) {
		Bucket bucket = bucket(service);
		bucket.decay(nowMs, this.windowMs * KEPT_WINDOW);
		bucket.earned += this.ratio;
	}

	/**
	 * Uses one retry of the budget if there is one.
	 * @param service the name of the service
	 * @param vmCount the number of entry VMs that share the slack
	 * @param nowMs the current time in milliseconds
	 * @return {@code true} if the retry may be made
	 */
	public boolean tryRetry(String service, int vmCount, long nowMs) {
		return refilled(service, vmCount, nowMs).take();
	}

	/**
	 * Returns whether a retry may be made now.
	 * @param service the name of the service
	 * @param vmCount the number of entry VMs that share the slack
	 * @param nowMs the current time in milliseconds
	 * @return {@code true} if {@link #tryRetry} would succeed
	 */
	public boolean hasRetry(String service, int vmCount, long nowMs) {
		return refilled(service, vmCount, nowMs).hasToken();
	}

	private Bucket refilled(String service, int vmCount, long nowMs) {
		Bucket bucket = bucket(service);
		bucket.decay(nowMs, this.windowMs * KEPT_WINDOW);
		// Half of the share is refilled over the window and at most half is saved up, so
		// that no window exceeds the share.
		double halfShare = this.slack / Math.max(1, vmCount) / 2;
		bucket.refill(halfShare, nowMs, this.windowMs);
		return bucket;
	}

	private Bucket bucket(String service) {
		return this.buckets.computeIfAbsent(service, (name) -> new Bucket());
	}

	private static final class Bucket {

		// Retries that first requests have added.
		private double earned;

		private long decayedAtMs = Long.MIN_VALUE;

		// Retries of the slack.
		private double spare;

		private long refilledAtMs = Long.MIN_VALUE;

		private void decay(long nowMs, double keptMs) {
			if (this.decayedAtMs != Long.MIN_VALUE) {
				this.earned *= Math.exp((this.decayedAtMs - nowMs) / keptMs);
			}
			this.decayedAtMs = nowMs;
		}

		private void refill(double halfShare, long nowMs, long windowMs) {
			double added = (this.refilledAtMs == Long.MIN_VALUE) ? halfShare
					: halfShare * (nowMs - this.refilledAtMs) / windowMs;
			this.refilledAtMs = nowMs;
			// A part of a retry is kept, or a small share would never allow one.
			this.spare = Math.min(this.spare + added, Math.max(1, halfShare));
		}

		private boolean hasToken() {
			return this.earned + this.spare >= 1;
		}

		private boolean take() {
			if (!hasToken()) {
				return false;
			}
			double fromEarned = Math.min(1, this.earned);
			this.earned -= fromEarned;
			this.spare -= 1 - fromEarned;
			return true;
		}

	}

}
