package org.fulmargap.standin;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;

/**
 * A stream of the log. Retention is bounded by the number and by the age of records.
 */
final class LogStream {

	private final int retainRecords;

	private final long retainMs;

	private final List<Entry> entries = new ArrayList<>();

	private long firstOffset;

	LogStream(int retainRecords, long retainMs) {
		this.retainRecords = retainRecords;
		this.retainMs = retainMs;
	}

	synchronized long append(JsonNode value, long nowMs) {
		long offset = this.firstOffset + this.entries.size();
		this.entries.add(new Entry(offset, nowMs, value));
		applyRetention(nowMs);
		return offset;
	}

	synchronized Page read(long from, int max, long nowMs) {
		applyRetention(nowMs);
		int start = (int) Math.min(Math.max(from - this.firstOffset, 0), this.entries.size());
		int end = Math.min(start + max, this.entries.size());
		return new Page(this.firstOffset, this.firstOffset + this.entries.size(),
				List.copyOf(this.entries.subList(start, end)));
	}

	private void applyRetention(long nowMs) {
		int count = Math.max(0, this.entries.size() - this.retainRecords);
		while (count < this.entries.size() && nowMs - this.entries.get(count).appendedAtMs() > this.retainMs) {
			count++;
		}
		if (count > 0) {
			this.entries.subList(0, count).clear();
			this.firstOffset += count;
		}
	}

	/**
	 * A record with its offset.
	 *
	 * @param offset the offset
	 * @param appendedAtMs when the record was appended, in milliseconds since the epoch
	 * @param value the JSON value
	 */
	record Entry(@JsonProperty("offset") long offset, @JsonProperty("appended_at_ms") long appendedAtMs,
			@JsonProperty("value") JsonNode value) {
	}

	/**
	 * Response body of a read: consecutive records of a stream.
	 *
	 * @param firstOffset the offset of the oldest record that is retained
	 * @param nextOffset the offset of the next append
	 * @param records the records in offset order
	 */
	record Page(@JsonProperty("first_offset") long firstOffset, @JsonProperty("next_offset") long nextOffset,
			@JsonProperty("records") List<Entry> records) {
	}

}
