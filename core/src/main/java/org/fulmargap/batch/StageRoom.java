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
final class StageRoom {

	private final Map<String, Held> heldByHandle = new HashMap<>();

	private final Set<String> spare = new LinkedHashSet<>();

	private long heldBytes;

	private long reservedBytes;

	private long foreignBytes;

	private long foreignSinceMs;

	private long foreignUntilMs = Long.MIN_VALUE;

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

	void hold(String handle, long bytes, long untilMs) {
		if (this.heldByHandle.put(handle, new Held(bytes, untilMs)) == null) {
			this.heldBytes += bytes;
		}
	}

	void spare(String handle) {
		if (this.heldByHandle.containsKey(handle)) {
			this.spare.add(handle);
		}
	}

	/**
	 * Takes spare results until enough room would be free.
	 * @param bytes the room that is wanted beyond what is free, in bytes
	 * @return the names of the results, the oldest ones first
	 */
	List<String> reclaim(long bytes) {
		List<String> reclaimed = new ArrayList<>();
		long leftBytes = bytes;
		for (Iterator<String> i = this.spare.iterator(); i.hasNext() && leftBytes > 0;) {
			String handle = i.next();
			i.remove();
			Held held = this.heldByHandle.get(handle);
			if (held != null) {
				leftBytes -= held.bytes();
				reclaimed.add(handle);
			}
		}
		return reclaimed;
	}

	boolean release(String handle) {
		this.spare.remove(handle);
		Held held = this.heldByHandle.remove(handle);
		if (held == null) {
			return false;
		}
		this.heldBytes -= held.bytes();
		return true;
	}

	/**
	 * Records that the endpoint had no room for a result.
	 * @param bytes the room that is counted as free although it isn't, in bytes
	 * @param lifetimeMs how long results are kept, in milliseconds
	 * @param nowMs the present time in milliseconds
	 */
	void full(long bytes, long lifetimeMs, long nowMs) {
		this.foreignBytes = foreignBytes(nowMs) + Math.max(0, bytes);
		this.foreignSinceMs = nowMs;
		this.foreignUntilMs = nowMs + lifetimeMs;
	}

	/**
	 * Records that a result went that another VM had made.
	 * @param bytes its size in bytes
	 */
	void foreignReleased(long bytes) {
		this.foreignBytes = Math.max(0, this.foreignBytes - bytes);
	}

	// Results of unknown age expire evenly over their lifetime.
	private long foreignBytes(long nowMs) {
		if (nowMs >= this.foreignUntilMs) {
			return 0;
		}
		double left = (this.foreignUntilMs - nowMs) / (double) (this.foreignUntilMs - this.foreignSinceMs);
		return (long) (this.foreignBytes * left);
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
		for (Iterator<Held> i = this.heldByHandle.values().iterator(); i.hasNext();) {
			Held held = i.next();
			if (nowMs >= held.untilMs()) {
				this.heldBytes -= held.bytes();
				i.remove();
			}
		}
		return this.heldBytes + this.reservedBytes + foreignBytes(nowMs);
	}

	private record Held(long bytes, long untilMs) {
	}

}
