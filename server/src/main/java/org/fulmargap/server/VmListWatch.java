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
 * Keeps the last answer of the platform's VM list.
 */
final class VmListWatch {

	private final VmDirectory directory;

	private final Timeline timeline;

	private final LongSupplier clock;

	private volatile Reading last = new Reading(Map.of(), 0);

	private boolean failing;

	VmListWatch(VmDirectory directory, Timeline timeline, LongSupplier clock) {
		this.directory = directory;
		this.timeline = timeline;
		this.clock = clock;
	}

	/**
	 * Reads the list. Waits for the answer.
	 */
	void refresh() {
		long nowMs = this.clock.getAsLong();
		try {
			this.last = new Reading(this.directory.read(), nowMs);
			noteState(false, "answers");
		}
		catch (IOException ex) {
			noteState(true, String.valueOf(ex.getMessage()));
		}
	}

	private void noteState(boolean nowFailing, String detail) {
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
	 * One answer.
	 *
	 * @param vms the state of each VM
	 * @param readAtMs when the list was asked for, zero if it never answered
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
