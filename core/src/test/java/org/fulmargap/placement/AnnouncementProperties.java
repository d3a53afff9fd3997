package org.fulmargap.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks with random orders of answers, records, restarts, freezes, suspensions and cuts
 * that an endpoint gets no work that it said it does not want, and that a new process of
 * it is not left out for what an earlier one said.
 */
class AnnouncementProperties {

	private static final int ENDPOINTS = 3;

	private static final int STEPS = 400;

	private static final int MAX_STEP_MS = 60;

	private static final int PAUSE_MS = 3_000;

	private static final int MAX_REST_MS = 4_000;

	// No request at all is sent from the announcement on, so those within drain-ms and
	// the
	// two that the users' rules allow are those in flight.
	@Property(tries = 300, seed = "21")
	void anEndpointGetsNoWorkThatItDoesNotWant(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
		Model model = new Model(new Random(seed));
		for (int step = 0; step < STEPS; step++) {
			model.step();
			model.check();
		}
	}

	/**
	 * One VM's directory, and what its endpoints did and announced to this VM. A request
	 * reaches the newest process of an endpoint, whatever record it was sent by.
	 */
	private static final class Model {

		private final Random random;

		private final EndpointDirectory directory = new EndpointDirectory();

		private final Map<String, Long> newestProcess = new HashMap<>();

		private final Set<EndpointProcess> leaving = new HashSet<>();

		// On the true time, which includes suspensions.
		private final Map<EndpointProcess, Long> restUntilMs = new HashMap<>();

		// The process in the last record that counts, unless it was a removal.
		private final Map<String, Long> listedProcess = new HashMap<>();

		private final Map<String, Long> lastReadProcess = new HashMap<>();

		private long sequence;

		private long nowMs;

		private long suspendedMs;

		private Model(Random random) {
			this.random = random;
		}

		private void step() {
			this.nowMs += (this.random.nextInt(50) == 0) ? PAUSE_MS : this.random.nextInt(MAX_STEP_MS);
			String id = "e" + this.random.nextInt(ENDPOINTS);
			switch (this.random.nextInt(16)) {
				case 0 -> this.newestProcess.merge(id, 1L, Long::sum);
				case 1 -> leave(new EndpointProcess(id, newestProcess(id)));
				case 2 -> leave(new EndpointProcess(id, anyProcess(id)));
				case 3, 4 -> rest(new EndpointProcess(id, newestProcess(id)));
				case 5 -> rest(new EndpointProcess(id, anyProcess(id)));
				case 6 -> remove(id);
				case 7 -> cut();
				case 8 -> this.directory.purge(this.nowMs);
				case 9 -> suspend();
				case 10, 11 -> read(id, anyProcess(id));
				default -> read(id, newestProcess(id));
			}
		}

		private long newestProcess(String id) {
			return this.newestProcess.computeIfAbsent(id, (key) -> 1L);
		}

		private long anyProcess(String id) {
			return 1 + this.random.nextInt((int) newestProcess(id));
		}

		// From an answer or from the report of a peer.
		private void leave(EndpointProcess process) {
			this.directory.recordLeaving(process);
			this.leaving.add(process);
		}

		private void rest(EndpointProcess process) {
			long restMs = 1 + this.random.nextInt(MAX_REST_MS);
			this.directory.recordRest(process, this.nowMs + restMs);
			this.restUntilMs.merge(process, this.nowMs + this.suspendedMs + restMs, Math::max);
		}

		private void suspend() {
			long lengthMs = this.random.nextInt(PAUSE_MS);
			this.suspendedMs += lengthMs;
			this.directory.recordSuspension(lengthMs);
		}

		// A record of an earlier process than the last one that was read changes nothing.
		private void read(String id, long process) {
			this.sequence++;
			this.directory.put(Endpoints.record(id, false, process, this.sequence), this.nowMs);
			if (this.lastReadProcess.merge(id, process, Math::max) == process) {
				this.listedProcess.put(id, process);
			}
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
				EndpointProcess reached = new EndpointProcess(id, newestProcess(id));
				boolean wantsWork = !this.leaving.contains(reached)
						&& this.restUntilMs.getOrDefault(reached, 0L) <= this.nowMs + this.suspendedMs;
				if (!wantsWork) {
					assertThat(isAvailable(id)).as(id).isFalse();
				}
				else if (this.listedProcess.getOrDefault(id, 0L) == reached.startedAtMs()) {
					assertThat(isAvailable(id)).as(id).isTrue();
				}
			}
		}

		private boolean isAvailable(String id) {
			return this.directory.available("service", this.nowMs)
				.stream()
				.anyMatch((endpoint) -> endpoint.record().id().equals(id));
		}

	}

}
