package org.fulmargap.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The records of endpoints that were not applied because the endpoint had written a newer
 * one or was removed. One that the store goes on to list belongs to an endpoint that is
 * alive, because the store removes those that send no heartbeats. Confined to the event
 * loop.
 */
final class OutdatedRecords {

	/**
	 * How long the store lists a record before its endpoint counts as alive, in
	 * milliseconds: more than the three heartbeats after which it removes an endpoint.
	 */
	private static final long LISTED_MS = 10_000;

	private final Map<String, Listing> listings = new HashMap<>();

	/**
	 * Adds a record that the store has begun to list.
	 * @param key its key
	 * @param nowMs the current time in milliseconds
	 */
	void listed(String key, long nowMs) {
		this.listings.put(key, new Listing(nowMs + LISTED_MS, false));
	}

	/**
	 * Adds a record of an older copy from which the store came back.
	 * @param key its key
	 * @param settledAtMs when the store will have removed the endpoints of the copy that
	 * are gone, in milliseconds
	 */
	void listedByCopy(String key, long settledAtMs) {
		this.listings.put(key, new Listing(settledAtMs, true));
	}

	/**
	 * Drops a record, because a newer one was read or it was removed.
	 * @param key its key
	 */
	void replaced(String key) {
		this.listings.remove(key);
	}

	/**
	 * Records that the store was away, during which it may remove nothing. What is known
	 * of a copy was listed after that.
	 * @param nowMs the current time in milliseconds
	 */
	void storeAway(long nowMs) {
		this.listings.replaceAll((key, listing) -> (listing.ofCopy) ? listing : new Listing(nowMs + LISTED_MS, false));
	}

	/**
	 * Returns the records that the store has listed for long enough, and drops them.
	 * @param nowMs the current time in milliseconds
	 * @return their keys
	 */
	Set<String> takeDue(long nowMs) {
		Set<String> due = this.listings.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().dueAtMs <= nowMs)
			.map(Map.Entry::getKey)
			.collect(Collectors.toSet());
		this.listings.keySet().removeAll(due);
		return due;
	}

	private record Listing(long dueAtMs, boolean ofCopy) {
	}

}
