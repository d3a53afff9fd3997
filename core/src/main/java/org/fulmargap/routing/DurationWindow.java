package org.fulmargap.routing;

import java.util.Arrays;

/**
 * The most recent durations of calls. Not safe for use by several threads.
 */
final class DurationWindow {

	private final long[] values;

	private int size;

	private int next;

	private long[] sorted;

	private final int[] tokens;

	DurationWindow(int capacity) {
		this.values = new long[capacity];
		this.tokens = new int[capacity];
	}

	void add(long durationMs) {
		add(durationMs, 0);
	}

	void add(long durationMs, int uncachedTokens) {
		this.tokens[this.next] = uncachedTokens;
		this.values[this.next] = durationMs;
		this.next = (this.next + 1) % this.values.length;
		this.size = Math.min(this.size + 1, this.values.length);
		this.sorted = null;
	}

	int size() {
		return this.size;
	}

	long median() {
		return quantile(0.5);
	}

	long quantile(double fraction) {
		if (this.size == 0) {
			return 0;
		}
		if (this.sorted == null) {
			this.sorted = Arrays.copyOf(this.values, this.size);
			Arrays.sort(this.sorted);
		}
		return this.sorted[(int) Math.min(this.size - 1, Math.floor(fraction * this.size))];
	}

	/**
	 * Returns the median duration without the time for computing prompts, so that calls
	 * with different numbers of cached prompt tokens can be compared.
	 * @param msPerToken the time to compute one token of a prompt in milliseconds
	 * @return milliseconds, at least zero
	 */
	double baseMedian(double msPerToken) {
		if (msPerToken == 0 || this.size == 0) {
			return median();
		}
		double[] base = new double[this.size];
		for (int i = 0; i < this.size; i++) {
			base[i] = Math.max(0, this.values[i] - this.tokens[i] * msPerToken);
		}
		Arrays.sort(base);
		return base[this.size / 2];
	}

}
