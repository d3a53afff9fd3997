package org.fulmargap.entry.request;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The requests of this VM that are not answered yet, and the time at which the VM stops.
 * A request that can't be answered before that time is refused, so that its caller can
 * turn to another VM. Confined to the event loop.
 */
public final class OpenRequests {

	private static final long NEVER_MS = Long.MAX_VALUE;

	private final Set<RequestFlow> flows = new LinkedHashSet<>();

	private long stopsAtMs = NEVER_MS;

	void add(RequestFlow flow) {
		this.flows.add(flow);
		if (isStopping()) {
			flow.stopAt(this.stopsAtMs);
		}
	}

	void remove(RequestFlow flow) {
		this.flows.remove(flow);
	}

	/**
	 * Sets the time at which this VM stops, and refuses the requests that can't be
	 * answered before it.
	 * @param newStopsAtMs the time in milliseconds
	 */
	public void stopAt(long newStopsAtMs) {
		this.stopsAtMs = newStopsAtMs;
		List.copyOf(this.flows).forEach((flow) -> flow.stopAt(newStopsAtMs));
	}

	/**
	 * Handles that an endpoint may have started again, so that results that it kept are
	 * gone.
	 */
	public void endpointChanged() {
		List.copyOf(this.flows).forEach(RequestFlow::endpointChanged);
	}

	boolean isStopping() {
		return this.stopsAtMs != NEVER_MS;
	}

	/**
	 * Returns whether work can be done before this VM stops.
	 * @param durationMs the expected duration of the work, in milliseconds
	 * @param nowMs the current time in milliseconds
	 * @return {@code true} if there is enough time, or if this VM does not stop
	 */
	boolean isTimeFor(double durationMs, long nowMs) {
		return !isStopping() || nowMs + durationMs <= this.stopsAtMs;
	}

	/**
	 * Answers all requests at once, because this VM stops now. Those that have not run
	 * are refused; the outcome of the others is unknown. Streams that have begun are
	 * broken off.
	 */
	public void stopAll() {
		List.copyOf(this.flows).forEach(RequestFlow::stop);
	}

	/**
	 * Returns the number of requests that are not answered yet.
	 * @return the number
	 */
	public int count() {
		return this.flows.size();
	}

}
