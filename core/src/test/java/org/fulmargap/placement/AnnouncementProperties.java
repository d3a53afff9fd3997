package org.fulmargap.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks with random orders of answers, records, restarts, freezes and cuts that an
 * endpoint gets no work that it said it does not want, and that a new process of it is
 * not left out for what an earlier one said.
 */
class AnnouncementProperties {

	private static final int ENDPOINTS = 3;

	private static final int STEPS = 400;

	private static final int MAX_STEP_MS = 60;

	private static final int FREEZE_MS = 5_000;

	@Property(tries = 200, seed = "21")
	void aLeavingProcessGetsNoWorkFromItsAnnouncementOn(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
		Model model = new Model(new Random(seed));
		for (int step = 0; step < STEPS; step++) {
			model.step();
			model.check();
		}
	}

	/**
	 * One VM's directory, and what its endpoints did and announced to this VM.
	 */
	private static final class Model {

		private final Random random;

		private final EndpointDirectory directory = new EndpointDirectory();

		private final Map<String, Long> newestProcess = new HashMap<>();

		// The newest process of each endpoint that this VM knows to be leaving.
		private final Map<String, Long> leavingProcess = new HashMap<>();

		// The process in the last record that was read, unless it was a removal.
		private final Map<String, Long> listedProcess = new HashMap<>();

		private long nowMs;

		private Model(Random random) {
			this.random = random;
		}

		private void step() {
			this.nowMs += (this.random.nextInt(50) == 0) ? FREEZE_MS : this.random.nextInt(MAX_STEP_MS);
			String id = "e" + this.random.nextInt(ENDPOINTS);
			switch (this.random.nextInt(12)) {
				case 0 -> this.newestProcess.merge(id, 1L, Long::sum);
				case 1 -> announce(id, process(id));
				case 2 -> announce(id, earlierProcess(id));
				case 3 -> remove(id);
				case 4 -> cut();
				case 5 -> this.directory.purge(this.nowMs);
				case 6, 7 -> read(id, earlierProcess(id));
				default -> read(id, process(id));
			}
		}

		private long process(String id) {
			return this.newestProcess.computeIfAbsent(id, (key) -> 1L);
		}

		private long earlierProcess(String id) {
			return 1 + this.random.nextInt((int) process(id));
		}

		// From an answer or, at another VM, from the report of a peer.
		private void announce(String id, long process) {
			this.directory.recordLeaving(new EndpointProcess(id, process));
			this.leavingProcess.merge(id, process, Math::max);
		}

		private void read(String id, long process) {
			this.directory.put(new EndpointRecord(id, "service", "10.0.0.1:80", "a", 8, false, 0, process), this.nowMs);
			this.listedProcess.put(id, process);
		}

		private void remove(String id) {
			this.directory.remove(id, 0, this.nowMs);
			this.listedProcess.remove(id);
		}

		// The records are read anew after the connection to the store was lost.
		private void cut() {
			this.directory.retain(Set.of(), 0, this.nowMs);
			this.listedProcess.clear();
		}

		private void check() {
			for (int i = 0; i < ENDPOINTS; i++) {
				String id = "e" + i;
				boolean available = this.directory.available("service", this.nowMs)
					.stream()
					.anyMatch((endpoint) -> endpoint.record().id().equals(id));
				long leavingProcess = this.leavingProcess.getOrDefault(id, 0L);
				boolean expected = this.listedProcess.getOrDefault(id, 0L) > leavingProcess;
				assertThat(available).as(id).isEqualTo(expected);
			}
		}

	}

}
