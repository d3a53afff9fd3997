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
 * Converts the records of one append to the claims stream to and from JSON.
 */
public final class ClaimBatch {

	/** The maximum number of records in a batch. Ranks use 12 bits for the index. */
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
			throw new IllegalArgumentException("a batch must have 1 to " + MAX_RECORDS + " records: " + records.size());
		}
		ObjectNode batch = Json.mapper().createObjectNode();
		ArrayNode array = batch.putArray("records");
		// Converting the whole list would omit the type property of the records.
		records.forEach((record) -> array.add(Json.mapper().<JsonNode>valueToTree(record)));
		return batch;
	}

	/**
	 * Reads a batch. A record that cannot be parsed keeps its place in the list, so that
	 * the other records keep their index.
	 * @param value the value stored in the stream
	 * @return the records in order, each with its content or a parse error
	 * @throws JsonProcessingException if the value is not a batch
	 */
	public static List<Parsed> fromJson(JsonNode value) throws JsonProcessingException {
		JsonNode array = value.path("records");
		if (!array.isArray() || array.size() > MAX_RECORDS) {
			throw new RecordFormatException("a batch must have an array of at most " + MAX_RECORDS + " records");
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
	 * @param error why the record cannot be parsed, or an empty string
	 */
	public record Parsed(ClaimRecord record, String error) {
	}

}
