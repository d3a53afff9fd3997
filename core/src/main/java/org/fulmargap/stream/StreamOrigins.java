package org.fulmargap.stream;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The origins of the latest streams, those of other VMs included. Confined to one thread.
 */
public final class StreamOrigins {

	/** How long an origin is kept, in milliseconds: longer than streams last. */
	public static final long LIFETIME_MS = 120_000;

	/** The number of origins that are kept, of about 150 bytes each. */
	private static final int MAX_ORIGINS = 20_000;

	// In the order in which they were added.
	private final Map<String, Entry> entries = new LinkedHashMap<>();

	/**
	 * Adds the origin of a stream. One that is known stays as it is.
	 * @param origin the origin
	 * @param own whether the stream began at this VM
	 * @param nowMs the current time in milliseconds
	 */
	public void add(StreamOrigin origin, boolean own, long nowMs) {
		this.entries.putIfAbsent(origin.attemptId(), new Entry(origin, own, nowMs));
		Iterator<Entry> eldest = this.entries.values().iterator();
		while (eldest.hasNext() && isSurplus(eldest.next(), nowMs)) {
			eldest.remove();
		}
	}

	private boolean isSurplus(Entry entry, long nowMs) {
		return this.entries.size() > MAX_ORIGINS || nowMs - entry.addedAtMs() > LIFETIME_MS;
	}

	/**
	 * Returns the origin of a stream.
	 * @param attemptId the id of the attempt that brought its first event
	 * @return the origin, or empty if it is not known
	 */
	public Optional<StreamOrigin> find(String attemptId) {
		return Optional.ofNullable(this.entries.get(attemptId)).map(Entry::origin);
	}

	/**
	 * Returns the origins of streams that began at this VM lately.
	 * @param service the service of their endpoints
	 * @param sinceMs the time from which on they began, in milliseconds
	 * @return the origins
	 */
	public List<StreamOrigin> own(String service, long sinceMs) {
		return this.entries.values()
			.stream()
			.filter((entry) -> entry.own() && entry.addedAtMs() >= sinceMs && entry.origin().service().equals(service))
			.map(Entry::origin)
			.toList();
	}

	/**
	 * Returns the origins that were added lately, those of other VMs included.
	 * @param service the service of their endpoints
	 * @param sinceMs the time from which on they were added, in milliseconds
	 * @return the origins
	 */
	public List<StreamOrigin> added(String service, long sinceMs) {
		return this.entries.values()
			.stream()
			.filter((entry) -> entry.addedAtMs() >= sinceMs && entry.origin().service().equals(service))
			.map(Entry::origin)
			.toList();
	}

	private record Entry(StreamOrigin origin, boolean own, long addedAtMs) {
	}

}
