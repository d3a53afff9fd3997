package org.fulmargap.ledger;

import java.io.IOException;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The platform's append-only log service.
 */
public interface PlatformLog {

	/**
	 * Appends a record. After an exception the record may or may not be in the stream.
	 * @param stream the name of the stream
	 * @param value the record, at most 1 MiB as JSON
	 * @return the offset of the record
	 * @throws IOException if the log did not confirm the append
	 */
	long append(String stream, JsonNode value) throws IOException;

	/**
	 * Reads records in offset order.
	 * @param stream the name of the stream
	 * @param fromOffset the offset to start from; if it is no longer retained, the
	 * records start at the first retained offset
	 * @param maxRecords the maximum number of records to return
	 * @return the records and the bounds of the stream
	 * @throws IOException if the log did not return a valid page
	 */
	LogPage read(String stream, long fromOffset, int maxRecords) throws IOException;

}
