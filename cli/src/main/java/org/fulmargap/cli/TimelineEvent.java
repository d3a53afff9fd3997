package org.fulmargap.cli;

import java.time.Instant;
import java.time.OffsetDateTime;
import java.time.format.DateTimeParseException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * One event of the timeline.
 *
 * @param atMs when the event happened, milliseconds since the epoch
 * @param vm the entry VM that recorded the event
 * @param type the type of the event
 * @param requestId the request id, or empty
 * @param configVersion the configuration version, or empty
 * @param fields the other fields by name
 */
record TimelineEvent(long atMs, String vm, String type, String requestId, String configVersion,
		Map<String, String> fields) {

	/**
	 * Reads an event from a response of the operator API.
	 * @param node the event as JSON
	 * @return the event
	 */
	static TimelineEvent of(JsonNode node) {
		Map<String, String> fields = new LinkedHashMap<>();
		node.path("fields").fields().forEachRemaining((field) -> fields.put(field.getKey(), text(field.getValue())));
		return new TimelineEvent(node.path("at_ms").asLong(), node.path("vm").asText(), node.path("type").asText(),
				node.path("request_id").asText(""), node.path("config_version").asText(""), fields);
	}

	// An attempt id that is an object gets the text form that log lines use.
	private static String text(JsonNode value) {
		if (value.hasNonNull("requestNumber") && value.hasNonNull("attempt")) {
			return value.path("incarnation").asText() + "/" + value.path("requestNumber").asLong() + "/"
					+ value.path("stageIndex").asInt() + "/" + value.path("attempt").asInt();
		}
		return value.isContainerNode() ? value.toString() : value.asText();
	}

	/**
	 * Reads an event from a log line.
	 * @param line the line
	 * @return the event, or empty if the line lacks a valid time, an event or a VM
	 */
	static Optional<TimelineEvent> parse(String line) {
		Map<String, String> pairs = KeyValueLine.parse(line);
		if (!pairs.containsKey("at") || !pairs.containsKey("event") || !pairs.containsKey("vm")) {
			return Optional.empty();
		}
		try {
			long atMs = OffsetDateTime.parse(pairs.remove("at")).toInstant().toEpochMilli();
			pairs.remove("level");
			pairs.remove("logger");
			String vm = pairs.remove("vm");
			String type = pairs.remove("event");
			String requestId = Optional.ofNullable(pairs.remove("request_id")).orElse("");
			String version = Optional.ofNullable(pairs.remove("config_version")).orElse("");
			return Optional.of(new TimelineEvent(atMs, vm, type, requestId, version, pairs));
		}
		catch (DateTimeParseException ex) {
			return Optional.empty();
		}
	}

	/**
	 * Returns whether another event is a duplicate of this one from another source. The
	 * time of a log line is the time at which it was written, slightly after the event.
	 * @param other the other event
	 * @return {@code true} if the events are equal apart from their times, which differ
	 * by at most 100 ms
	 */
	boolean isDuplicateOf(TimelineEvent other) {
		return this.vm.equals(other.vm) && this.type.equals(other.type) && this.requestId.equals(other.requestId)
				&& this.configVersion.equals(other.configVersion) && this.fields.equals(other.fields)
				&& Math.abs(this.atMs - other.atMs) <= 100;
	}

	/**
	 * Writes the event as one line of key=value pairs.
	 * @return the line
	 */
	String toLine() {
		StringBuilder line = new StringBuilder("at=").append(Instant.ofEpochMilli(this.atMs))
			.append(" vm=")
			.append(KeyValueLine.quote(this.vm))
			.append(" event=")
			.append(KeyValueLine.quote(this.type));
		if (!this.requestId.isEmpty()) {
			line.append(" request_id=").append(KeyValueLine.quote(this.requestId));
		}
		if (!this.configVersion.isEmpty()) {
			line.append(" config_version=").append(KeyValueLine.quote(this.configVersion));
		}
		this.fields.forEach((key, value) -> line.append(' ').append(key).append('=').append(KeyValueLine.quote(value)));
		return line.toString();
	}

}
