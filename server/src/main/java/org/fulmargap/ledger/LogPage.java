package org.fulmargap.ledger;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;

/**
 * A page of records of a stream, with the bounds of the stream.
 *
 * @param firstOffset the first offset that is retained
 * @param nextOffset the offset that the next append gets
 * @param records the records in offset order
 */
public record LogPage(@JsonProperty("first_offset") long firstOffset, @JsonProperty("next_offset") long nextOffset,
		@JsonProperty("records") List<Entry> records) {

	/**
	 * Copies the list of records.
	 */
	public LogPage {
		records = List.copyOf(records);
	}

	/**
	 * One record.
	 *
	 * @param offset the offset in the stream
	 * @param appendedAtMs when the log stored the record, milliseconds since the epoch
	 * @param value the content of the record
	 */
	public record Entry(@JsonProperty("offset") long offset, @JsonProperty("appended_at_ms") long appendedAtMs,
			@JsonProperty("value") JsonNode value) {
	}

}
