package org.fulmargap.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The room for results at one stage endpoint: what calls in flight will need, what
 * finished results still take, and what results take that another VM had made while it
 * was in charge. Of the latter only the endpoint's refusals tell.
 */
final class ResultSpace {

	private final Map<String, StoredResult> resultsByHandle = new HashMap<>();

	private final Set<String> evictable = new LinkedHashSet<>();

	private long storedBytes;

	private long reservedBytes;

	private long unownedBytes;

	private long unownedSinceMs;

	private long unownedUntilMs = Long.MIN_VALUE;

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

	void recordResult(String handle, long bytes, long untilMs) {
		if (this.resultsByHandle.put(handle, new StoredResult(bytes, untilMs)) == null) {
			this.storedBytes += bytes;
		}
	}

	void markEvictable(String handle) {
		if (this.resultsByHandle.containsKey(handle)) {
			this.evictable.add(handle);
		}
	}

	/**
	 * Takes evictable results until enough room would be free.
	 * @param bytes the room that is wanted beyond what is free, in bytes
	 * @return the names of the results, the oldest ones first
	 */
	List<String> evict(long bytes) {
		List<String> evicted = new ArrayList<>();
		long leftBytes = bytes;
		for (Iterator<String> i = this.evictable.iterator(); i.hasNext() && leftBytes > 0;) {
			String handle = i.next();
			i.remove();
			StoredResult stored = this.resultsByHandle.get(handle);
			if (stored != null) {
				leftBytes -= stored.bytes();
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
	 * Records that the endpoint had no room for a result.
	 * @param bytes the room that is counted as free although it isn't, in bytes
	 * @param lifetimeMs how long results are kept, in milliseconds
	 * @param nowMs the present time in milliseconds
	 */
	void recordOutOfSpace(long bytes, long lifetimeMs, long nowMs) {
		this.unownedBytes = unownedBytes(nowMs) + Math.max(0, bytes);
		this.unownedSinceMs = nowMs;
		this.unownedUntilMs = nowMs + lifetimeMs;
	}

	/**
	 * Records that a result went that another VM had made.
	 * @param bytes its size in bytes
	 */
	void unownedReleased(long bytes) {
		this.unownedBytes = Math.max(0, this.unownedBytes - bytes);
	}

	// Results of unknown age expire evenly over their lifetime.
	private long unownedBytes(long nowMs) {
		if (nowMs >= this.unownedUntilMs) {
			return 0;
		}
		double left = (this.unownedUntilMs - nowMs) / (double) (this.unownedUntilMs - this.unownedSinceMs);
		return (long) (this.unownedBytes * left);
	}

	int callsInFlight() {
		return this.callsInFlight;
	}

	/**
	 * Returns when the newest call is expected to end.
	 * @return the time in milliseconds; the past if no call is in flight
	 */
	double callEndsAtMs() {
		return (this.callsInFlight > 0) ? this.callEndsAtMs : Double.NEGATIVE_INFINITY;
	}

	long usedBytes(long nowMs) {
		for (Iterator<StoredResult> i = this.resultsByHandle.values().iterator(); i.hasNext();) {
			StoredResult stored = i.next();
			if (nowMs >= stored.untilMs()) {
				this.storedBytes -= stored.bytes();
				i.remove();
			}
		}
		return this.storedBytes + this.reservedBytes + unownedBytes(nowMs);
	}

	private record StoredResult(long bytes, long untilMs) {
	}

}
