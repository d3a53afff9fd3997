package org.fulmargap.timeline;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.LongSupplier;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stores the most recent events of an entry VM in memory and logs each event as one line.
 * Safe for use by several threads.
 */
public final class Timeline {

	/** The number of stored events. At about 400 bytes each they use about 3 MB. */
	public static final int DEFAULT_CAPACITY = 8192;

	private static final Logger LOG = LoggerFactory.getLogger(Timeline.class);

	private final String vm;

	private final int capacity;

	private final LongSupplier clock;

	private final Deque<TimelineEvent> events = new ArrayDeque<>();

	/**
	 * Creates an empty timeline.
	 * @param vm the name of the entry VM
	 * @param capacity the number of events to store, at least one; the oldest are dropped
	 * first
	 * @param clock the source of the current time in milliseconds since the epoch
	 */
	public Timeline(String vm, int capacity, LongSupplier clock) {
		if (capacity < 1) {
			throw new IllegalArgumentException("capacity must be at least 1: " + capacity);
		}
		this.vm = vm;
		this.capacity = capacity;
		this.clock = clock;
	}

	/**
	 * Stores and logs an event. Its time is the current time.
	 * @param type the type of the event
	 * @param requestId the id of the request that the event belongs to, or empty
	 * @param configVersion the configuration version that applied
	 * @param fields alternating names and values of further data; values other than
	 * numbers and booleans are converted to text
	 */
	public void record(EventType type, String requestId, long configVersion, Object... fields) {
		Map<String, Object> values = new LinkedHashMap<>();
		for (int i = 0; i + 1 < fields.length; i += 2) {
			values.put(String.valueOf(fields[i]), toJsonValue(fields[i + 1]));
		}
		TimelineEvent event = new TimelineEvent(this.clock.getAsLong(), this.vm, type, requestId, configVersion,
				Collections.unmodifiableMap(values));
		synchronized (this.events) {
			if (this.events.size() == this.capacity) {
				this.events.removeFirst();
			}
			this.events.addLast(event);
		}
		if (type.isWarning()) {
			LOG.warn(event.toLine());
		}
		else {
			LOG.info(event.toLine());
		}
	}

	private static Object toJsonValue(Object value) {
		return (value instanceof Number || value instanceof Boolean) ? value : String.valueOf(value);
	}

	/**
	 * Finds stored events, oldest first.
	 * @param requestId the id of the request to find events of, or empty for all events
	 * @param configVersion the configuration version to find events of, or empty for all
	 * events
	 * @return the matching events that are still stored
	 */
	public List<TimelineEvent> find(Optional<String> requestId, OptionalLong configVersion) {
		List<TimelineEvent> matching = new ArrayList<>();
		synchronized (this.events) {
			for (TimelineEvent event : this.events) {
				if (requestId.map(event.requestId()::equals).orElse(true)
						&& (configVersion.isEmpty() || configVersion.getAsLong() == event.configVersion())) {
					matching.add(event);
				}
			}
		}
		return matching;
	}

}
