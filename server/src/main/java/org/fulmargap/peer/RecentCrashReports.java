package org.fulmargap.peer;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Crash strikes of this entry VM that a peer with a new link must get. Used by the I/O
 * thread only.
 */
final class RecentCrashReports {

	/** The time for which a request stays in quarantine. */
	static final long KEEP_MS = 600_000;

	// 1,000 fingerprints of 64 digits with two endpoints each make about 120 KB, so that
	// a heartbeat with all of them stays far below the frame bound.
	private static final int MAX_FINGERPRINTS = 1_000;

	private final Map<String, Strike> strikes = new LinkedHashMap<>();

	void add(Map<String, List<String>> fingerprints, long nowMs) {
		fingerprints.forEach((fingerprint, endpoints) -> {
			this.strikes.remove(fingerprint);
			this.strikes.put(fingerprint, new Strike(List.copyOf(endpoints), nowMs));
		});
		Iterator<Strike> oldest = this.strikes.values().iterator();
		while (this.strikes.size() > MAX_FINGERPRINTS) {
			oldest.next();
			oldest.remove();
		}
	}

	Map<String, List<String>> current(long nowMs) {
		this.strikes.values().removeIf((strike) -> nowMs - strike.atMs() >= KEEP_MS);
		return this.strikes.entrySet()
			.stream()
			.collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, (entry) -> entry.getValue().endpoints()));
	}

	private record Strike(List<String> endpoints, long atMs) {
	}

}
