package org.fulmargap.entry;

import org.fulmargap.platform.StoreClient;

/**
 * How long the store may hold a read open, so that this VM notices in time that its
 * connections have stopped delivering without a reset.
 *
 * @param noticeMs the longest time from the end of a read to the timeout of the read that
 * follows it, in milliseconds
 * @param maxWaitMs the longest wait, in milliseconds; each read is charged
 */
record LongPollWait(long noticeMs, long maxWaitMs) {

	/**
	 * How long a read on a new connection may take until its records are in force here
	 * and at the VMs to which this one relays them, in milliseconds.
	 */
	static final long FRESH_READ_MS = 400;

	private static final long UNBOUNDED_MS = Long.MAX_VALUE / 2;

	/**
	 * Creates the wait for a topic whose records must be in force in a bounded time. A
	 * record that was written before the silence and not delivered is at most one
	 * interval old.
	 * @param contactMs the time after a silence from which on the bound holds, in
	 * milliseconds
	 * @param applyMs the time after which a record must be in force, in milliseconds
	 * @param minIntervalMs the shortest time between the starts of two reads, in
	 * milliseconds
	 * @param maxWaitMs the longest wait, in milliseconds
	 * @return the wait
	 */
	static LongPollWait within(long contactMs, long applyMs, long minIntervalMs, long maxWaitMs) {
		long boundMs = Math.max(contactMs, applyMs - minIntervalMs);
		return new LongPollWait(boundMs - FRESH_READ_MS, maxWaitMs);
	}

	/**
	 * Creates the wait for a topic whose records may come late.
	 * @param waitMs the wait, in milliseconds
	 * @return the wait
	 */
	static LongPollWait unbounded(long waitMs) {
		return new LongPollWait(UNBOUNDED_MS, waitMs);
	}

	/**
	 * Returns how long a read that starts now may wait.
	 * @param endedAtMs when the last read ended, in milliseconds
	 * @param nowMs the current time in milliseconds
	 * @return the wait in milliseconds; 0 if the last read is too long ago
	 */
	long waitMs(long endedAtMs, long nowMs) {
		long leftMs = this.noticeMs - StoreClient.ANSWER_TIMEOUT_MS - (nowMs - endedAtMs);
		return Math.max(0, Math.min(this.maxWaitMs, leftMs));
	}

}
