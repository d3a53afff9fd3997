package org.fulmargap.timeline;

import java.util.Map;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * One event of an entry VM.
 *
 * @param atMs the time of the event, milliseconds since the epoch
 * @param vm the entry VM that recorded the event
 * @param type the type of the event
 * @param requestId the id of the request that the event belongs to, or empty
 * @param configVersion the configuration version that applied
 * @param fields further data by name
 */
public record TimelineEvent(@JsonProperty("at_ms") long atMs, @JsonProperty("vm") String vm,
		@JsonProperty("type") EventType type, @JsonProperty("request_id") String requestId,
		@JsonProperty("config_version") long configVersion, @JsonProperty("fields") Map<String, Object> fields) {

	/**
	 * Writes the event as one line of key=value pairs.
	 * @return the line without a line separator
	 */
	public String toLine() {
		StringBuilder line = new StringBuilder("event=").append(this.type).append(" vm=").append(this.vm);
		if (!this.requestId.isEmpty()) {
			line.append(" request_id=").append(this.requestId);
		}
		line.append(" config_version=").append(this.configVersion);
		this.fields.forEach((key, value) -> line.append(' ').append(key).append('=').append(quoteIfNeeded(value)));
		return line.toString();
	}

	private static String quoteIfNeeded(Object value) {
		String text = String.valueOf(value);
		if (!text.isEmpty() && text.chars().noneMatch((c) -> c <= ' ' || c == '"' || c == '=')) {
			return text;
		}
		String escaped = text.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n").replace("\r", "\\r");
		return '"' + escaped + '"';
	}

}
