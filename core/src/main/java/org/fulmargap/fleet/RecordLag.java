package org.fulmargap.fleet;

/**
 * Decides when a VM requests the records of a topic from a peer that has newer ones.
 * Normally they arrive from the store or from the hub a moment later. Confined to one
 * thread.
 */
public final class RecordLag {

	/** How long the answer to a request is awaited, in milliseconds. */
	private static final long ANSWER_MS = 900;

	private static final long NONE = Long.MAX_VALUE;

	private StorePosition own = StorePosition.UNREAD;

	private StorePosition newest = StorePosition.UNREAD;

	private long behindSinceMs = NONE;

	private long requestedAtMs = Long.MIN_VALUE / 2;

	/**
	 * Records the position of this VM.
	 * @param position the position
	 */
	public void advanced(StorePosition position) {
		if (position.compareTo(this.own) > 0) {
			this.own = position;
			this.behindSinceMs = NONE;
		}
	}

	/**
	 * Compares the position of a peer with that of this VM.
	 * @param peerPosition the position of the peer
	 * @param patienceMs how long this VM may be behind, in milliseconds
	 * @param nowMs the current time in milliseconds
	 * @return whether this VM should request the records from this peer now
	 */
	public boolean shouldRequest(StorePosition peerPosition, long patienceMs, long nowMs) {
		this.newest = this.newest.later(peerPosition);
		if (this.own.compareTo(this.newest) >= 0) {
			return false;
		}
		if (this.behindSinceMs == NONE) {
			this.behindSinceMs = nowMs;
		}
		boolean due = peerPosition.compareTo(this.own) > 0 && nowMs - this.behindSinceMs >= patienceMs
				&& nowMs - this.requestedAtMs >= ANSWER_MS;
		if (due) {
			this.requestedAtMs = nowMs;
		}
		return due;
	}

}
