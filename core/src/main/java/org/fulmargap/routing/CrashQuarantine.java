package org.fulmargap.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Isolates and refuses requests that crash endpoints. Each endpoint that crashed while a
 * request was in flight there adds a crash report to the fingerprint of the request. Safe
 * for use by several threads.
 */
public final class CrashQuarantine {

	/** The time in milliseconds for which crash reports and a quarantine are kept. */
	public static final long LIFETIME_MS = 600_000;

	/**
	 * A lost connection counts as a crash only if the crash is confirmed within this
	 * time.
	 */
	static final long SUSPICION_TIMEOUT_MS = 5_000;

	private static final int CRASHES_TO_QUARANTINE = 2;

	private final int maxFingerprints;

	private final int crashesToQuarantine;

	private final LinkedHashMap<String, Entry> entries = new LinkedHashMap<>();

	private final LinkedHashMap<Suspicion, Long> suspicions = new LinkedHashMap<>();

	/**
	 * Creates a quarantine without crash reports.
	 * @param maxFingerprints the highest number of fingerprints kept; the oldest are
	 * dropped first
	 */
	public CrashQuarantine(int maxFingerprints) {
		this(maxFingerprints, CRASHES_TO_QUARANTINE);
	}

	/**
	 * Creates a quarantine without crash reports.
	 * @param maxFingerprints the highest number of fingerprints kept; the oldest are
	 * dropped first
	 * @param crashesToQuarantine the number of endpoints that must crash before a
	 * fingerprint is refused; use a higher number where many requests share a
	 * fingerprint, so that an outage of several endpoints is not attributed to them
	 */
	public CrashQuarantine(int maxFingerprints, int crashesToQuarantine) {
		if (maxFingerprints < 1) {
			throw new IllegalArgumentException("maxFingerprints must be at least 1: " + maxFingerprints);
		}
		if (crashesToQuarantine < 1) {
			throw new IllegalArgumentException("crashesToQuarantine must be at least 1: " + crashesToQuarantine);
		}
		this.maxFingerprints = maxFingerprints;
		this.crashesToQuarantine = crashesToQuarantine;
	}

	/**
	 * Decides whether a request may run, and whether it must be isolated.
	 * @param fingerprint the fingerprint of the request
	 * @param nowMs the current time in milliseconds since the epoch
	 * @return the verdict
	 */
	public synchronized Verdict verdict(String fingerprint, long nowMs) {
		expire(nowMs);
		Entry entry = this.entries.get(fingerprint);
		if (entry != null && entry.endpoints.size() >= this.crashesToQuarantine) {
			return Verdict.QUARANTINED;
		}
		if (entry != null || isSuspected(fingerprint)) {
			return Verdict.ISOLATED;
		}
		return Verdict.ALLOWED;
	}

	/**
	 * Returns the endpoints to which a request with this fingerprint must not be sent
	 * again.
	 * @param fingerprint the fingerprint of the request
	 * @param nowMs the current time in milliseconds since the epoch
	 * @return the names of the endpoints that crashed, or may have crashed, with it
	 */
	public synchronized Set<String> suspectedEndpoints(String fingerprint, long nowMs) {
		expire(nowMs);
		Set<String> endpoints = new TreeSet<>();
		Entry entry = this.entries.get(fingerprint);
		if (entry != null) {
			endpoints.addAll(entry.endpoints.keySet());
		}
		for (Suspicion suspicion : this.suspicions.keySet()) {
			if (suspicion.fingerprint.equals(fingerprint)) {
				endpoints.add(suspicion.endpoint);
			}
		}
		return endpoints;
	}

	/**
	 * Records that the connection of a request was lost. It becomes a crash report if
	 * {@link #confirmCrash} is called for the endpoint within five seconds.
	 * @param endpoint the name of the endpoint
	 * @param fingerprint the fingerprint of the request
	 * @param nowMs the current time in milliseconds since the epoch
	 */
	public synchronized void connectionLost(String endpoint, String fingerprint, long nowMs) {
		expire(nowMs);
		this.suspicions.put(new Suspicion(endpoint, fingerprint), nowMs);
		trim(this.suspicions, this.maxFingerprints);
	}

	/**
	 * Records that an endpoint refuses connections or has restarted with a new
	 * incarnation. Adds a crash report for each request whose connection to it was lost
	 * in the last five seconds.
	 * @param endpoint the name of the endpoint
	 * @param nowMs the current time in milliseconds since the epoch
	 * @return the new crash reports, to be sent to all peers, as endpoints by fingerprint
	 */
	public synchronized Map<String, List<String>> confirmCrash(String endpoint, long nowMs) {
		expire(nowMs);
		List<String> fingerprints = new ArrayList<>();
		for (Iterator<Suspicion> i = this.suspicions.keySet().iterator(); i.hasNext();) {
			Suspicion suspicion = i.next();
			if (suspicion.endpoint.equals(endpoint)) {
				fingerprints.add(suspicion.fingerprint);
				i.remove();
			}
		}
		return recordCrash(endpoint, fingerprints, nowMs);
	}

	/**
	 * Records the crash of an endpoint.
	 * @param endpoint the name of the endpoint
	 * @param fingerprints the fingerprints of the requests that were in flight there
	 * @param nowMs the current time in milliseconds since the epoch
	 * @return the new crash reports, to be sent to all peers, as endpoints by fingerprint
	 */
	public synchronized Map<String, List<String>> recordCrash(String endpoint, Collection<String> fingerprints,
			long nowMs) {
		expire(nowMs);
		Map<String, List<String>> added = new TreeMap<>();
		for (String fingerprint : fingerprints) {
			if (reportCrash(fingerprint, endpoint, true, nowMs)) {
				added.put(fingerprint, List.of(endpoint));
			}
		}
		return added;
	}

	/**
	 * Removes the crash reports of a request that ended without a crash. A quarantined
	 * fingerprint stays quarantined.
	 * @param fingerprint the fingerprint of the request
	 */
	public synchronized void completed(String fingerprint) {
		Entry entry = this.entries.get(fingerprint);
		if (entry != null && entry.endpoints.size() < this.crashesToQuarantine) {
			this.entries.remove(fingerprint);
		}
		if (!this.suspicions.isEmpty()) {
			this.suspicions.keySet().removeIf((suspicion) -> suspicion.fingerprint.equals(fingerprint));
		}
	}

	/**
	 * Returns the crash reports that this entry VM observed itself, for heartbeats.
	 * Reports received from peers are left out, because two peers would otherwise renew
	 * each other's copies and the reports would never expire.
	 * @param nowMs the current time in milliseconds since the epoch
	 * @return endpoints by fingerprint
	 */
	public synchronized Map<String, List<String>> crashReports(long nowMs) {
		expire(nowMs);
		Map<String, List<String>> reports = new HashMap<>();
		this.entries.forEach((fingerprint, entry) -> {
			List<String> own = entry.endpoints.entrySet()
				.stream()
				.filter(Map.Entry::getValue)
				.map(Map.Entry::getKey)
				.toList();
			if (!own.isEmpty()) {
				reports.put(fingerprint, own);
			}
		});
		return reports;
	}

	/**
	 * Merges the crash reports of a peer.
	 * @param reports endpoints by fingerprint
	 * @param nowMs the current time in milliseconds since the epoch
	 */
	public synchronized void mergeCrashReports(Map<String, List<String>> reports, long nowMs) {
		expire(nowMs);
		reports.forEach((fingerprint, endpoints) -> endpoints
			.forEach((endpoint) -> reportCrash(fingerprint, endpoint, false, nowMs)));
	}

	private boolean reportCrash(String fingerprint, String endpoint, boolean observedHere, long nowMs) {
		Entry entry = this.entries.get(fingerprint);
		if (entry == null) {
			entry = new Entry(nowMs);
			this.entries.put(fingerprint, entry);
			trim(this.entries, this.maxFingerprints);
		}
		if (entry.endpoints.size() >= this.crashesToQuarantine) {
			return false;
		}
		boolean isNew = entry.endpoints.putIfAbsent(endpoint, observedHere) == null;
		if (isNew && entry.endpoints.size() == this.crashesToQuarantine) {
			// The quarantine lasts its full time from the last crash report. Inserting
			// the entry again keeps the map in the order of expiry.
			Entry quarantined = new Entry(nowMs);
			quarantined.endpoints.putAll(entry.endpoints);
			this.entries.remove(fingerprint);
			this.entries.put(fingerprint, quarantined);
		}
		return isNew;
	}

	private boolean isSuspected(String fingerprint) {
		return !this.suspicions.isEmpty()
				&& this.suspicions.keySet().stream().anyMatch((suspicion) -> suspicion.fingerprint.equals(fingerprint));
	}

	private void expire(long nowMs) {
		this.entries.values().removeIf((entry) -> nowMs - entry.sinceMs >= LIFETIME_MS);
		this.suspicions.values().removeIf((atMs) -> nowMs - atMs >= SUSPICION_TIMEOUT_MS);
	}

	private static <K, V> void trim(LinkedHashMap<K, V> map, int size) {
		for (Iterator<K> i = map.keySet().iterator(); map.size() > size && i.hasNext();) {
			i.next();
			i.remove();
		}
	}

	private record Suspicion(String endpoint, String fingerprint) {
	}

	private static final class Entry {

		private final long sinceMs;

		private final Map<String, Boolean> endpoints = new TreeMap<>();

		private Entry(long sinceMs) {
			this.sinceMs = sinceMs;
		}

	}

	/**
	 * Decision about a request.
	 */
	public enum Verdict {

		/** The request runs without restrictions. */
		ALLOWED,

		/** The request must not share an endpoint with another isolated request. */
		ISOLATED,

		/** The request is refused. */
		QUARANTINED;

		/**
		 * Returns whether the request may run.
		 * @return {@code false} if it must be refused
		 */
		public boolean mayRun() {
			return this != QUARANTINED;
		}

	}

}
