package org.fulmargap.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Tracks the space that results use at one stage endpoint: the space reserved for calls
 * in flight, the space of stored results, and that of untracked results, which come from
 * calls of an earlier coordinator. Untracked results are noticed only when the endpoint
 * runs out of space.
 */
final class ResultSpace {

	private final Map<String, StoredResult> resultsByHandle = new HashMap<>();

	private final Set<String> evictable = new LinkedHashSet<>();

	private long storedBytes;

	private long reservedBytes;

	private long untrackedBytes;

	private long untrackedSinceMs;

	private long untrackedUntilMs = Long.MIN_VALUE;

	private int callsInFlight;

	private double callEndsAtMs = Double.NEGATIVE_INFINITY;

	void callStarted(long bytes, double expectedEndAtMs) {
		this.callsInFlight++;
		this.callEndsAtMs = expectedEndAtMs;
		this.reservedBytes += bytes;
	}

	void callEnded(long bytes) {
		this.callsInFlight--;
		this.reservedBytes -= bytes;
	}

	void recordResult(String handle, long bytes, long expiresAtMs) {
		if (this.resultsByHandle.put(handle, new StoredResult(bytes, expiresAtMs)) == null) {
			this.storedBytes += bytes;
		}
	}

	void markEvictable(String handle) {
		if (this.resultsByHandle.containsKey(handle)) {
			this.evictable.add(handle);
		}
	}

	/**
	 * Chooses evictable results to release and clears their mark. They use space until
	 * {@link #release} is called.
	 * @param bytes the space that their release must at least free, in bytes
	 * @return the handles of the results in the order in which they were marked; with
	 * fewer bytes than required if there are no more
	 */
	List<String> evict(long bytes) {
		List<String> evicted = new ArrayList<>();
		long remainingBytes = bytes;
		for (Iterator<String> i = this.evictable.iterator(); i.hasNext() && remainingBytes > 0;) {
			String handle = i.next();
			i.remove();
			StoredResult stored = this.resultsByHandle.get(handle);
			if (stored != null) {
				remainingBytes -= stored.bytes();
				evicted.add(handle);
			}
		}
		return evicted;
	}

	boolean release(String handle) {
		this.evictable.remove(handle);
		StoredResult stored = this.resultsByHandle.remove(handle);
		if (stored == null) {
			return false;
		}
		this.storedBytes -= stored.bytes();
		return true;
	}

	/**
	 * Records that the endpoint ran out of space for a result.
	 * @param bytes the space that was counted as free although it isn't, in bytes
	 * @param lifetimeMs how long results are kept, in milliseconds
	 * @param nowMs the current time in milliseconds
	 */
	void recordOutOfSpace(long bytes, long lifetimeMs, long nowMs) {
		this.untrackedBytes = untrackedBytes(nowMs) + Math.max(0, bytes);
		this.untrackedSinceMs = nowMs;
		this.untrackedUntilMs = nowMs + lifetimeMs;
	}

	/**
	 * Records that the endpoint released an untracked result.
	 * @param bytes its size in bytes
	 */
	void untrackedReleased(long bytes) {
		this.untrackedBytes = Math.max(0, this.untrackedBytes - bytes);
	}

	// The age of untracked results is unknown: they are assumed to expire evenly over the
	// lifetime of a result.
	private long untrackedBytes(long nowMs) {
		if (nowMs >= this.untrackedUntilMs) {
			return 0;
		}
		double leftShare = (this.untrackedUntilMs - nowMs) / (double) (this.untrackedUntilMs - this.untrackedSinceMs);
		return (long) (this.untrackedBytes * leftShare);
	}

	int callsInFlight() {
		return this.callsInFlight;
	}

	/**
	 * Returns when the newest call is expected to end.
	 * @return the time in milliseconds; negative infinity if no call is in flight
	 */
	double callEndsAtMs() {
		return (this.callsInFlight > 0) ? this.callEndsAtMs : Double.NEGATIVE_INFINITY;
	}

	long usedBytes(long nowMs) {
		for (Iterator<StoredResult> i = this.resultsByHandle.values().iterator(); i.hasNext();) {
			StoredResult stored = i.next();
			if (nowMs >= stored.expiresAtMs()) {
				this.storedBytes -= stored.bytes();
				i.remove();
			}
		}
		return this.storedBytes + this.reservedBytes + untrackedBytes(nowMs);
	}

	private record StoredResult(long bytes, long expiresAtMs) {
	}

}
