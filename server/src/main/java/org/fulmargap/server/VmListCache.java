package org.fulmargap.server;

import java.io.IOException;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;

import org.fulmargap.ledger.VmDirectory;
import org.fulmargap.timeline.EventType;
import org.fulmargap.timeline.Timeline;

/**
 * Caches the latest VM list of the platform.
 */
final class VmListCache {

	private final VmDirectory directory;

	private final Timeline timeline;

	private final LongSupplier clock;

	private volatile Reading last = new Reading(Map.of(), 0);

	private boolean failing;

	VmListCache(VmDirectory directory, Timeline timeline, LongSupplier clock) {
		this.directory = directory;
		this.timeline = timeline;
		this.clock = clock;
	}

	/**
	 * Reads the list from the platform and blocks until it responds. The previous list is
	 * kept if the read fails.
	 */
	void refresh() {
		long nowMs = this.clock.getAsLong();
		try {
			this.last = new Reading(this.directory.read(), nowMs);
			recordState(false, "answers");
		}
		catch (IOException ex) {
			recordState(true, String.valueOf(ex.getMessage()));
		}
	}

	private void recordState(boolean nowFailing, String detail) {
		if (nowFailing != this.failing) {
			this.failing = nowFailing;
			this.timeline.record(EventType.PLATFORM_STATE, "", 0, "part", "vm_list", "failing", nowFailing, "detail",
					detail);
		}
	}

	Reading last() {
		return this.last;
	}

	/**
	 * VM list with the time of its request.
	 *
	 * @param vms the state of each VM by name
	 * @param readAtMs when the list was requested, milliseconds since the epoch, zero
	 * before the first successful read
	 */
	record Reading(Map<String, VmDirectory.VmState> vms, long readAtMs) {

		Set<String> leaving() {
			return this.vms.entrySet()
				.stream()
				.filter((entry) -> !entry.getValue().takesNewWork())
				.map(Map.Entry::getKey)
				.collect(Collectors.toSet());
		}

	}

}
