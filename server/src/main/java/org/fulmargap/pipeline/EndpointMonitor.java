package org.fulmargap.pipeline;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.fulmargap.endpoint.EndpointException;
import org.fulmargap.endpoint.EndpointObserver;
import org.fulmargap.routing.CallFailure;
import org.fulmargap.routing.CrashQuarantine;
import org.fulmargap.timeline.EventType;
import org.fulmargap.timeline.Timeline;

/**
 * Detects endpoints that are leaving and requests that crash endpoints. A lost connection
 * counts as a crash only if the endpoint then refuses connections or restarts with a new
 * incarnation.
 */
public final class EndpointMonitor implements EndpointObserver {

	private final CrashQuarantine quarantine;

	private final Consumer<Map<String, List<String>>> broadcastCrashReports;

	private final Timeline timeline;

	private final LongSupplier clock;

	private final Map<String, String> incarnations = new ConcurrentHashMap<>();

	private final Set<String> leaving = ConcurrentHashMap.newKeySet();

	/**
	 * Creates a monitor.
	 * @param quarantine stores the crash reports
	 * @param broadcastCrashReports sends new crash reports to all peers
	 * @param timeline records new crash reports and leaving endpoints
	 * @param clock the source of the current time in milliseconds since the epoch
	 */
	public EndpointMonitor(CrashQuarantine quarantine, Consumer<Map<String, List<String>>> broadcastCrashReports,
			Timeline timeline, LongSupplier clock) {
		this.quarantine = quarantine;
		this.broadcastCrashReports = broadcastCrashReports;
		this.timeline = timeline;
		this.clock = clock;
	}

	@Override
	public void statusReported(String endpoint, String incarnation, boolean isLeaving) {
		if (isLeaving) {
			if (this.leaving.add(endpoint)) {
				this.timeline.record(EventType.ENDPOINT_LEAVING, "", 0, "endpoint", endpoint);
			}
		}
		else {
			this.leaving.remove(endpoint);
		}
		if (!incarnation.isEmpty()) {
			String previous = this.incarnations.put(endpoint, incarnation);
			if (previous != null && !previous.equals(incarnation)) {
				confirmCrash(endpoint);
			}
		}
	}

	@Override
	public void connectionRefused(String endpoint) {
		confirmCrash(endpoint);
	}

	/**
	 * Returns the incarnation that an endpoint reported most recently.
	 * @param endpoint the name of the endpoint
	 * @return the incarnation, empty if none was reported
	 */
	String incarnation(String endpoint) {
		return this.incarnations.getOrDefault(endpoint, "");
	}

	private void confirmCrash(String endpoint) {
		Map<String, List<String>> crashReports = this.quarantine.confirmCrash(endpoint, this.clock.getAsLong());
		if (!crashReports.isEmpty()) {
			this.timeline.record(EventType.CRASH_STRIKE, "", 0, "endpoint", endpoint, "fingerprints",
					crashReports.keySet());
			this.broadcastCrashReports.accept(crashReports);
		}
	}

	/**
	 * Returns the endpoints whose last report said that they are leaving.
	 * @return the names of the endpoints
	 */
	public Set<String> leaving() {
		return Set.copyOf(this.leaving);
	}

	/**
	 * Records a failed call.
	 * @param endpoint the name of the endpoint
	 * @param fingerprint the fingerprint of the request
	 * @param ex the failure
	 */
	void failed(String endpoint, String fingerprint, EndpointException ex) {
		if (ex.failure() == CallFailure.CONNECTION_LOST) {
			this.quarantine.connectionLost(endpoint, fingerprint, this.clock.getAsLong());
		}
		else if (ex.isRefusedConnection()) {
			connectionRefused(endpoint);
		}
		else if (ex.failure() == CallFailure.LEAVING) {
			statusReported(endpoint, "", true);
		}
	}

	/**
	 * Records a successful call.
	 * @param endpoint the name of the endpoint
	 * @param fingerprint the fingerprint of the request
	 * @param incarnation the incarnation that the endpoint reported, or empty
	 * @param isLeaving whether the endpoint reported that it is leaving
	 */
	void answered(String endpoint, String fingerprint, String incarnation, boolean isLeaving) {
		this.quarantine.completed(fingerprint);
		statusReported(endpoint, incarnation, isLeaving);
	}

	CrashQuarantine.Verdict verdict(String fingerprint) {
		return this.quarantine.verdict(fingerprint, this.clock.getAsLong());
	}

	Set<String> suspectedEndpoints(String fingerprint) {
		return this.quarantine.suspectedEndpoints(fingerprint, this.clock.getAsLong());
	}

}
