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
 * Keeps the most recent events of an entry VM and logs each as one line.
 */
public final class Timeline {

	/** The number of events kept; at about 400 bytes each they take some 3 MB. */
	public static final int DEFAULT_CAPACITY = 8192;

	private static final Logger LOG = LoggerFactory.getLogger(Timeline.class);

	private final String vm;

	private final int capacity;

	private final LongSupplier clock;

	private final Deque<TimelineEvent> events = new ArrayDeque<>();

	/**
	 * Creates an empty timeline.
	 * @param vm the name of the entry VM
	 * @param capacity the number of events to keep, at least one
	 * @param clock the source of the present time in milliseconds since the epoch
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
	 * Records an event.
	 * @param type the type of the event
	 * @param requestId the request that the event belongs to, or empty
	 * @param configVersion the configuration version that applied
	 * @param fields alternating names and values of further data
	 */
	public void record(EventType type, String requestId, long configVersion, Object... fields) {
		Map<String, Object> map = new LinkedHashMap<>();
		for (int i = 0; i + 1 < fields.length; i += 2) {
			map.put(String.valueOf(fields[i]), plain(fields[i + 1]));
		}
		TimelineEvent event = new TimelineEvent(this.clock.getAsLong(), this.vm, type, requestId, configVersion,
				Collections.unmodifiableMap(map));
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

	private static Object plain(Object value) {
		return (value instanceof Number || value instanceof Boolean) ? value : String.valueOf(value);
	}

	/**
	 * Finds events, oldest first.
	 * @param requestId only events of this request, or empty for all
	 * @param configVersion only events of this configuration version, or empty for all
	 * @return the matching events that are still kept
	 */
	public List<TimelineEvent> find(Optional<String> requestId, OptionalLong configVersion) {
		List<TimelineEvent> found = new ArrayList<>();
		synchronized (this.events) {
			for (TimelineEvent event : this.events) {
				if (requestId.map(event.requestId()::equals).orElse(true)
						&& (configVersion.isEmpty() || configVersion.getAsLong() == event.configVersion())) {
					found.add(event);
				}
			}
		}
		return found;
	}

}
