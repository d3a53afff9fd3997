package org.fulmargap.http;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.fulmargap.config.Json;

/**
 * Converts metrics to JSON.
 */
final class MetricsReport {

	private static final String VIOLATIONS = "invariant_violations";

	private static final double NANOS_PER_MS = 1_000_000;

	private MetricsReport() {
	}

	static ObjectNode of(MetricRegistry metrics) {
		ObjectNode root = Json.mapper().createObjectNode();
		ObjectNode counters = root.putObject("counters");
		metrics.getCounters().forEach((name, counter) -> counters.put(name, counter.getCount()));
		// The ledgers count violations under prefixes of their own; this is the total.
		counters.put(VIOLATIONS,
				metrics.getCounters((name, metric) -> name.endsWith(VIOLATIONS))
					.values()
					.stream()
					.mapToLong(Counter::getCount)
					.sum());
		metrics.getMeters().forEach((name, meter) -> counters.put(name, meter.getCount()));
		ObjectNode gauges = root.putObject("gauges");
		metrics.getGauges()
			.forEach((name, gauge) -> gauges.set(name, Json.mapper().valueToTree((Object) gauge.getValue())));
		ObjectNode timers = root.putObject("timers");
		metrics.getTimers().forEach((name, timer) -> {
			Snapshot snapshot = timer.getSnapshot();
			ObjectNode node = timers.putObject(name);
			node.put("count", timer.getCount());
			node.put("p50_ms", snapshot.getMedian() / NANOS_PER_MS);
			node.put("p95_ms", snapshot.get95thPercentile() / NANOS_PER_MS);
			node.put("p99_ms", snapshot.get99thPercentile() / NANOS_PER_MS);
			node.put("max_ms", snapshot.getMax() / NANOS_PER_MS);
		});
		return root;
	}

}
