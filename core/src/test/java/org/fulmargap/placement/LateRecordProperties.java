package org.fulmargap.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against work for an endpoint that drains or is gone, because a record that it
 * wrote before was read after. A seed draws the history of an endpoint over several
 * processes and addresses, and the order in which its records are read: late, twice or in
 * any order, across removals and deletions.
 */
class LateRecordProperties {

	private static final String ID = "e";

	private static final int MAX_PROCESSES = 3;

	private static final int MAX_RECORDS = 5;

	private static final int MAX_LATE = 6;

	private final EndpointDirectory directory = new EndpointDirectory();

	// What a reader that remembers everything knows.
	private EndpointRecord newest;

	private boolean removed;

	private long nowMs;

	@Property(seed = "9", tries = 3_000)
	void recordsThatAreReadLateChangeNothing(@ForAll long seed) {
		Random random = new Random(seed);
		LateRecordProperties reader = new LateRecordProperties();
		List<EndpointRecord> history = history(random);
		for (EndpointRecord record : history) {
			reader.read(record);
			reader.readLate(history, random);
			if (random.nextInt(4) == 0) {
				reader.remove(random);
				reader.readLate(history.subList(0, history.indexOf(record) + 1), random);
			}
		}
	}

	@Property(seed = "10", tries = 3_000)
	void recordsMayBeReadInAnyOrder(@ForAll long seed) {
		Random random = new Random(seed);
		LateRecordProperties reader = new LateRecordProperties();
		List<EndpointRecord> history = history(random);
		for (int i = 0; i < 3 * history.size(); i++) {
			reader.read(history.get(random.nextInt(history.size())));
			if (random.nextInt(6) == 0) {
				reader.remove(random);
			}
		}
	}

	private static List<EndpointRecord> history(Random random) {
		List<EndpointRecord> history = new ArrayList<>();
		int processes = 1 + random.nextInt(MAX_PROCESSES);
		for (int process = 1; process <= processes; process++) {
			long sequence = 0;
			String address = "10.0.0." + (1 + random.nextInt(2)) + ":80";
			int drainsAt = random.nextInt(2 * MAX_RECORDS);
			int records = 1 + random.nextInt(MAX_RECORDS);
			for (int i = 0; i < records; i++) {
				sequence += 1 + random.nextInt(3);
				history.add(new EndpointRecord(ID, "service", address, "a", 8, i >= drainsAt, 0, 1_000L * process,
						sequence, "v1"));
			}
		}
		return history;
	}

	private void readLate(List<EndpointRecord> history, Random random) {
		int late = random.nextInt(MAX_LATE);
		List<EndpointRecord> read = history.subList(0, Math.max(1, history.indexOf(this.newest) + 1));
		for (int i = 0; i < late; i++) {
			read(read.get(random.nextInt(read.size())));
		}
	}

	private void read(EndpointRecord record) {
		this.nowMs++;
		if (this.newest == null || this.newest.isBefore(record)) {
			this.newest = record;
			this.removed = false;
		}
		this.directory.put(record, this.nowMs);
		check();
	}

	private void remove(Random random) {
		this.nowMs++;
		this.removed = this.newest != null;
		this.directory.remove(ID, 0, this.nowMs);
		if (random.nextBoolean()) {
			this.directory.purge(this.nowMs);
		}
		check();
	}

	private void check() {
		boolean usable = this.newest != null && !this.removed && !this.newest.draining();
		List<EndpointRecord> available = this.directory.available("service", this.nowMs)
			.stream()
			.map(Endpoint::record)
			.toList();
		assertThat(available).as("removed: %s", this.removed).isEqualTo((usable) ? List.of(this.newest) : List.of());
	}

}
