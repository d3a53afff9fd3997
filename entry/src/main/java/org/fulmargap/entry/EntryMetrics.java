package org.fulmargap.entry;

import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import com.codahale.metrics.DefaultSettableGauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SettableGauge;
import com.codahale.metrics.SlidingTimeWindowArrayReservoir;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;

/**
 * Counters of this process since its start, gauges, and latencies of the last minute.
 * Safe for use by several threads.
 */
public final class EntryMetrics {

	private static final double[] QUANTILES = { 0.5, 0.95, 0.99 };

	private static final long WINDOW_SECONDS = 60;

	private static final double NANOS_PER_MS = 1_000_000;

	private final MetricRegistry registry = new MetricRegistry();

	/**
	 * Adds one to a counter.
	 * @param name the name of the counter
	 */
	public void count(String name) {
		this.registry.counter(name).inc();
	}

	/**
	 * Adds a number to a counter.
	 * @param name the name of the counter
	 * @param number the number, not negative
	 */
	public void add(String name, long number) {
		this.registry.counter(name).inc(number);
	}

	/**
	 * Sets the value of a gauge.
	 * @param name the name of the gauge, with its labels
	 * @param value the value
	 */
	public void gauge(String name, int value) {
		this.registry.<SettableGauge<Integer>>gauge(name, DefaultSettableGauge::new).setValue(value);
	}

	/**
	 * Adds a duration to a timer.
	 * @param name the name of the timer
	 * @param durationMs the duration in milliseconds
	 */
	public void time(String name, long durationMs) {
		this.registry
			.timer(name, () -> new Timer(new SlidingTimeWindowArrayReservoir(WINDOW_SECONDS, TimeUnit.SECONDS)))
			.update(durationMs, TimeUnit.MILLISECONDS);
	}

	/**
	 * Returns all counters, gauges and timers in the text format of Prometheus.
	 * @return one line with the name and the value of each
	 */
	public String text() {
		StringBuilder text = new StringBuilder();
		for (Map.Entry<String, Counter> counter : this.registry.getCounters().entrySet()) {
			appendLine(text, counter.getKey() + "_total", counter.getValue().getCount());
		}
		this.registry.getGauges().forEach((name, gauge) -> appendLine(text, name, gauge.getValue()));
		for (Map.Entry<String, Timer> timer : this.registry.getTimers().entrySet()) {
			Snapshot snapshot = timer.getValue().getSnapshot();
			for (double quantile : QUANTILES) {
				appendLine(text, timer.getKey() + "_ms{quantile=\"" + quantile + "\"}",
						snapshot.getValue(quantile) / NANOS_PER_MS);
			}
			appendLine(text, timer.getKey() + "_count", timer.getValue().getCount());
		}
		return text.toString();
	}

	private static void appendLine(StringBuilder text, String name, Object value) {
		text.append("fulmargap_").append(name).append(' ').append(value).append('\n');
	}

}
