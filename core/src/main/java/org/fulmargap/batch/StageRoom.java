package org.fulmargap.batch;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * The room for results at one stage endpoint: what calls in flight will need and what
 * finished results still take.
 */
final class StageRoom {

	private final Map<String, Held> heldByHandle = new HashMap<>();

	private long heldBytes;

	private long reservedBytes;

	private int callsInFlight;

	void callStarted(long bytes) {
		this.callsInFlight++;
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

	boolean release(String handle) {
		Held held = this.heldByHandle.remove(handle);
		if (held == null) {
			return false;
		}
		this.heldBytes -= held.bytes();
		return true;
	}

	int callsInFlight() {
		return this.callsInFlight;
	}

	long usedBytes(long nowMs) {
		for (Iterator<Held> i = this.heldByHandle.values().iterator(); i.hasNext();) {
			Held held = i.next();
			if (nowMs >= held.untilMs()) {
				this.heldBytes -= held.bytes();
				i.remove();
			}
		}
		return this.heldBytes + this.reservedBytes;
	}

	private record Held(long bytes, long untilMs) {
	}

}
