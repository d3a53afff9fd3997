package org.fulmargap.ledger;

import java.util.Locale;

import com.codahale.metrics.MetricRegistry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs events of the platform services as key=value lines and counts them.
 */
final class PlatformEvents {

	private static final Logger logger = LoggerFactory.getLogger(PlatformEvents.class);

	private final MetricRegistry metrics;

	PlatformEvents(MetricRegistry metrics) {
		this.metrics = metrics;
	}

	void count(String name) {
		this.metrics.counter(name).inc();
	}

	void recordEvent(String stream, Enum<?> type, boolean violation, boolean routine, String detail) {
		this.metrics.counter(stream + "." + type.name().toLowerCase(Locale.ROOT)).inc();
		if (violation) {
			recordViolation(stream, type.name(), detail);
		}
		else if (!routine) {
			logger.info("event=stream_record stream={} type={} detail=\"{}\"", stream, type, detail);
		}
	}

	void recordViolation(String stream, String type, String detail) {
		this.metrics.counter(stream + ".invariant_violations").inc();
		logger.error("event=invariant_violation stream={} type={} detail=\"{}\"", stream, type, detail);
	}

	void recordLogFailure(String stream, String action, Exception failure) {
		this.metrics.counter(stream + "." + action + "_failures").inc();
		logger.warn("event=log_call_failed stream={} action={} error=\"{}\"", stream, action, failure.getMessage());
	}

}
