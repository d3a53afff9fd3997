package org.fulmargap.claim;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.fulmargap.config.Json;
import org.fulmargap.config.RecordFormatException;

/**
 * Codec for the records that one append to the claims stream carries.
 */
public final class ClaimBatch {

	/** The highest number of records of a batch. Ranks leave 12 bits for the index. */
	public static final int MAX_RECORDS = 4096;

	private ClaimBatch() {
	}

	/**
	 * Writes a batch.
	 * @param records the records in order, 1 to {@link #MAX_RECORDS}
	 * @return the value to store in the stream
	 */
	public static JsonNode toJson(List<ClaimRecord> records) {
		if (records.isEmpty() || records.size() > MAX_RECORDS) {
			throw new IllegalArgumentException("a batch has 1 to " + MAX_RECORDS + " records: " + records.size());
		}
		ObjectNode batch = Json.mapper().createObjectNode();
		ArrayNode array = batch.putArray("records");
		// Each value is written by itself: writing the list would lose the type property.
		records.forEach((record) -> array.add(Json.mapper().<JsonNode>valueToTree(record)));
		return batch;
	}

	/**
	 * Reads a batch. A record that cannot be parsed is left out and the others keep their
	 * index.
	 * @param value the value stored in the stream
	 * @return the records; a record that cannot be parsed has no content
	 * @throws JsonProcessingException if the value is not a batch
	 */
	public static List<Parsed> fromJson(JsonNode value) throws JsonProcessingException {
		JsonNode array = value.path("records");
		if (!array.isArray() || array.size() > MAX_RECORDS) {
			throw new RecordFormatException("a batch has an array of at most " + MAX_RECORDS + " records");
		}
		List<Parsed> parsed = new ArrayList<>(array.size());
		for (JsonNode node : array) {
			parsed.add(parse(node));
		}
		return parsed;
	}

	private static Parsed parse(JsonNode node) {
		try {
			ClaimRecord record = Json.mapper().treeToValue(node, ClaimRecord.class);
			return new Parsed(record, (record != null) ? "" : "the record is null");
		}
		catch (JsonProcessingException | IllegalArgumentException ex) {
			return new Parsed(null, String.valueOf(ex.getMessage()));
		}
	}

	/**
	 * One record of a batch.
	 *
	 * @param record the record, or {@code null} if it cannot be parsed
	 * @param error why the record cannot be parsed
	 */
	public record Parsed(ClaimRecord record, String error) {
	}

}
