package org.fulmargap.batch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntToDoubleFunction;
import java.util.function.ToDoubleFunction;

import org.fulmargap.placement.Endpoint;

/**
 * Estimates at which endpoint of a stage service a group of work items ends first, given
 * the expected speeds of the endpoints and the calls that run. Groups are considered in
 * the order of urgency: those that wait for a faster endpoint fill its next calls. Valid
 * for one moment. Confined to one thread.
 */
final class EndTimes {

	/**
	 * The ratio from which on the speeds of endpoints differ clearly. A single call that
	 * takes 2.5 times as long raises the learned factor to 1.375, which does not count
	 * yet.
	 */
	static final double CLEAR_DIFFERENCE = 1.38;

	private final Map<Endpoint, Double> factors = new HashMap<>();

	private final Map<Endpoint, Integer> speedClasses = new HashMap<>();

	private final Map<Endpoint, NextCall> nextCalls = new HashMap<>();

	private final IntToDoubleFunction callMs;

	private final int batch;

	private final long nowMs;

	private double fastest = Double.MAX_VALUE;

	/**
	 * Creates the estimates.
	 * @param endpoints the available endpoints; suspended ones are ignored
	 * @param callMs the time of a call at usual speed by its number of work items
	 * @param batch the highest number of work items in a call
	 * @param nowMs the current time in milliseconds
	 */
	EndTimes(List<Endpoint> endpoints, IntToDoubleFunction callMs, int batch, long nowMs) {
		this.callMs = callMs;
		this.batch = batch;
		this.nowMs = nowMs;
		for (Endpoint endpoint : endpoints) {
			if (!endpoint.isSuspended(nowMs)) {
				double factor = endpoint.expectedFactor(nowMs);
				this.factors.put(endpoint, factor);
				this.fastest = Math.min(this.fastest, factor);
			}
		}
	}

	/**
	 * Returns whether the speeds of the endpoints matter: if learned or stated speeds
	 * differ clearly, or if an endpoint states that it is clearly slower than usual.
	 * @param endpoints the available endpoints
	 * @param nowMs the current time in milliseconds
	 * @return {@code false} if all count as equally fast
	 */
	static boolean matter(List<Endpoint> endpoints, long nowMs) {
		double lowest = Double.MAX_VALUE;
		double highest = 0;
		boolean statedSlow = false;
		for (Endpoint endpoint : endpoints) {
			double factor = endpoint.slowdownFactor(nowMs);
			lowest = Math.min(lowest, factor);
			highest = Math.max(highest, factor);
			statedSlow |= endpoint.statedFactor(nowMs) >= CLEAR_DIFFERENCE;
		}
		return statedSlow || highest >= lowest * CLEAR_DIFFERENCE;
	}

	/**
	 * Adds an endpoint whose slots are all in use.
	 * @param endpoint the endpoint, not suspended
	 * @param freeAtMs when a slot is expected to be free, in milliseconds
	 */
	void busy(Endpoint endpoint, double freeAtMs) {
		// A call that takes longer than expected is expected to take as long again.
		double startMs = this.nowMs + Math.abs(freeAtMs - this.nowMs);
		this.nextCalls.put(endpoint, new NextCall(startMs));
	}

	double factor(Endpoint endpoint) {
		return this.factors.getOrDefault(endpoint, endpoint.expectedFactor(this.nowMs));
	}

	/**
	 * Returns the class of an endpoint's speed. Endpoints whose speeds don't differ
	 * clearly are in the same or in neighbouring classes.
	 * @param endpoint the endpoint
	 * @return 0 for the fastest endpoints, more for slower ones
	 */
	int speedClass(Endpoint endpoint) {
		return this.speedClasses.computeIfAbsent(endpoint,
				(key) -> (int) (Math.log(factor(key) / this.fastest) / Math.log(CLEAR_DIFFERENCE)));
	}

	/**
	 * Returns whether an endpoint is slower than another one or than usual, so that
	 * deadlines limit its calls.
	 * @param endpoint the endpoint
	 * @return {@code true} if it is clearly slower
	 */
	boolean isSlow(Endpoint endpoint) {
		return speedClass(endpoint) > 0 || factor(endpoint) >= CLEAR_DIFFERENCE;
	}

	/**
	 * Returns when a call that starts now ends.
	 * @param endpoint the endpoint, with a free slot
	 * @param items the number of work items
	 * @return the time in milliseconds
	 */
	double endMs(Endpoint endpoint, int items) {
		return this.nowMs + this.callMs.applyAsDouble(items) * factor(endpoint);
	}

	/**
	 * Returns when a call would end that starts now at one of the fastest endpoints.
	 * @param items the number of work items
	 * @return the time in milliseconds
	 */
	double earliestEndMs(int items) {
		return this.nowMs + this.callMs.applyAsDouble(items) * this.fastest;
	}

	/**
	 * Returns whether a group ends first in a next call of a faster endpoint that is
	 * busy. If so, the group counts as part of that call.
	 * @param group the group
	 * @param endpoint the endpoint that could start a call with the group now
	 * @param itemsBefore the number of other work items in that call
	 * @param freeBytes the space for further results of a busy endpoint
	 * @return {@code true} if the group should wait
	 */
	boolean waitsForFaster(WorkItemGroup group, Endpoint endpoint, int itemsBefore,
			ToDoubleFunction<Endpoint> freeBytes) {
		int items = group.items().size();
		double earliestMs = endMs(endpoint, itemsBefore + items);
		Endpoint earliest = null;
		for (Map.Entry<Endpoint, NextCall> next : this.nextCalls.entrySet()) {
			Endpoint busy = next.getKey();
			double endMs = next.getValue().endMs(items, factor(busy));
			if (endMs < earliestMs && speedClass(busy) < speedClass(endpoint)
					&& freeBytes.applyAsDouble(busy) >= group.resultBytes()) {
				earliest = busy;
				earliestMs = endMs;
			}
		}
		if (earliest != null) {
			this.nextCalls.get(earliest).add(items, factor(earliest));
		}
		return earliest != null;
	}

	/**
	 * The call that follows the running ones at an endpoint.
	 */
	private final class NextCall {

		private double startMs;

		private int items;

		private NextCall(double startMs) {
			this.startMs = startMs;
		}

		private boolean isFull(int more) {
			return this.items > 0 && this.items + more > EndTimes.this.batch;
		}

		private double endMs(int more, double factor) {
			if (isFull(more)) {
				return this.startMs
						+ (EndTimes.this.callMs.applyAsDouble(this.items) + EndTimes.this.callMs.applyAsDouble(more))
								* factor;
			}
			return this.startMs + EndTimes.this.callMs.applyAsDouble(this.items + more) * factor;
		}

		private void add(int more, double factor) {
			if (isFull(more)) {
				this.startMs += EndTimes.this.callMs.applyAsDouble(this.items) * factor;
				this.items = 0;
			}
			this.items += more;
		}

	}

}
