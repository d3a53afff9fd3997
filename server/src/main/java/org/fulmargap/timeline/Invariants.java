package org.fulmargap.timeline;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;

/**
 * Checks conditions that must always hold. A violation is recorded and counted, but does
 * not stop the process, because that would interrupt requests that are not affected.
 */
public final class Invariants {

	private final Timeline timeline;

	private final Counter violations;

	/**
	 * Creates an instance.
	 * @param timeline records the violations
	 * @param metrics counts the violations as {@code invariant_violations}
	 */
	public Invariants(Timeline timeline, MetricRegistry metrics) {
		this.timeline = timeline;
		this.violations = metrics.counter("invariant_violations");
	}

	/**
	 * Checks a condition.
	 * @param holds whether the condition holds
	 * @param invariant a stable upper-case code of the condition
	 * @param requestId the id of the affected request, or empty
	 * @param configVersion the configuration version that applied
	 * @param detail a human-readable description of the violation
	 * @return the value of {@code holds}
	 */
	public boolean check(boolean holds, String invariant, String requestId, long configVersion, String detail) {
		if (!holds) {
			this.violations.inc();
			this.timeline.record(EventType.INVARIANT_VIOLATED, requestId, configVersion, "invariant", invariant,
					"detail", detail);
		}
		return holds;
	}

}
