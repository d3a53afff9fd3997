package org.fulmargap.peer;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Recent crash reports of this entry VM, which are sent to each peer with a new link.
 * Used by the I/O thread only.
 */
final class RecentCrashReports {

	/**
	 * How long a report is kept, in milliseconds. Equal to the time for which a request
	 * stays in quarantine.
	 */
	static final long KEEP_MS = 600_000;

	// 1,000 fingerprints of 64 digits with two endpoints each take about 120 KB, so that
	// a heartbeat with all of them is far smaller than the largest frame.
	private static final int MAX_FINGERPRINTS = 1_000;

	private final Map<String, CrashReport> crashReports = new LinkedHashMap<>();

	void add(Map<String, List<String>> fingerprints, long nowMs) {
		fingerprints.forEach((fingerprint, endpoints) -> {
			this.crashReports.remove(fingerprint);
			this.crashReports.put(fingerprint, new CrashReport(List.copyOf(endpoints), nowMs));
		});
		Iterator<CrashReport> oldest = this.crashReports.values().iterator();
		while (this.crashReports.size() > MAX_FINGERPRINTS) {
			oldest.next();
			oldest.remove();
		}
	}

	Map<String, List<String>> current(long nowMs) {
		this.crashReports.values().removeIf((report) -> nowMs - report.atMs() >= KEEP_MS);
		return this.crashReports.entrySet()
			.stream()
			.collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, (entry) -> entry.getValue().endpoints()));
	}

	private record CrashReport(List<String> endpoints, long atMs) {
	}

}
