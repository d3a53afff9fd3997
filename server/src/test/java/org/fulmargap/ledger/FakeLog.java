package org.fulmargap.ledger;

import java.io.IOException;
import java.net.ConnectException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * In-memory log with injected faults: outages for each client, lost responses, appends
 * that are stored late, and retention.
 */
final class FakeLog {

	final Set<String> unreachableFrom = new HashSet<>();

	final Set<String> loseResponsesTo = new HashSet<>();

	final Set<String> delayAppendsOf = new HashSet<>();

	private final Map<String, List<LogPage.Entry>> streams = new HashMap<>();

	private final Map<String, Integer> firstOffsets = new HashMap<>();

	private final List<Delayed> delayedAppends = new ArrayList<>();

	private final LongSupplier clock;

	FakeLog(LongSupplier clock) {
		this.clock = clock;
	}

	PlatformLog clientOf(String vm) {
		return new Client(vm);
	}

	void retainLast(String stream, int records) {
		int size = entries(stream).size();
		this.firstOffsets.merge(stream, Math.max(0, size - records), Math::max);
	}

	void storeDelayed() {
		this.delayedAppends.forEach((append) -> store(append.stream(), append.value()));
		this.delayedAppends.clear();
	}

	long store(String stream, JsonNode value) {
		List<LogPage.Entry> entries = entries(stream);
		entries.add(new LogPage.Entry(entries.size(), this.clock.getAsLong(), value));
		return entries.size() - 1;
	}

	List<LogPage.Entry> entries(String stream) {
		return this.streams.computeIfAbsent(stream, (name) -> new ArrayList<>());
	}

	private record Delayed(String stream, JsonNode value) {
	}

	/**
	 * Client of one VM, with the faults that apply to this VM.
	 */
	private final class Client implements PlatformLog {

		private final String vm;

		Client(String vm) {
			this.vm = vm;
		}

		@Override
		public long append(String stream, JsonNode value) throws IOException {
			check();
			if (FakeLog.this.delayAppendsOf.contains(this.vm)) {
				FakeLog.this.delayedAppends.add(new Delayed(stream, value));
				throw new IOException("timeout");
			}
			long offset = store(stream, value);
			if (FakeLog.this.loseResponsesTo.contains(this.vm)) {
				throw new IOException("response lost");
			}
			return offset;
		}

		@Override
		public LogPage read(String stream, long fromOffset, int maxRecords) throws IOException {
			check();
			List<LogPage.Entry> entries = entries(stream);
			int first = FakeLog.this.firstOffsets.getOrDefault(stream, 0);
			int from = Math.min(entries.size(), Math.max(first, (int) fromOffset));
			return new LogPage(first, entries.size(),
					entries.subList(from, Math.min(entries.size(), from + maxRecords)));
		}

		private void check() throws ConnectException {
			if (FakeLog.this.unreachableFrom.contains(this.vm)) {
				throw new ConnectException("the log is unreachable from " + this.vm);
			}
		}

	}

}
