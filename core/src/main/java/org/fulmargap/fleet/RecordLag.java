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

	private long ownOffset = -1;

	private long newestOffset = -1;

	private long behindSinceMs = NONE;

	private long requestedAtMs = Long.MIN_VALUE / 2;

	/**
	 * Records the next offset of this VM.
	 * @param offset the offset
	 */
	public void advanced(long offset) {
		if (offset > this.ownOffset) {
			this.ownOffset = offset;
			this.behindSinceMs = NONE;
		}
	}

	/**
	 * Compares the next offset of a peer with that of this VM.
	 * @param peerOffset the offset of the peer
	 * @param patienceMs how long this VM may be behind, in milliseconds
	 * @param nowMs the current time in milliseconds
	 * @return whether this VM should request the records from this peer now
	 */
	public boolean shouldRequest(long peerOffset, long patienceMs, long nowMs) {
		this.newestOffset = Math.max(this.newestOffset, peerOffset);
		if (this.ownOffset >= this.newestOffset) {
			return false;
		}
		if (this.behindSinceMs == NONE) {
			this.behindSinceMs = nowMs;
		}
		boolean due = peerOffset > this.ownOffset && nowMs - this.behindSinceMs >= patienceMs
				&& nowMs - this.requestedAtMs >= ANSWER_MS;
		if (due) {
			this.requestedAtMs = nowMs;
		}
		return due;
	}

}
