package org.fulmargap.stream;

/**
 * The times at which this VM may have missed what other VMs announced: before its start,
 * and while it was out of touch with them or stood still. What it missed is read from the
 * store when it is needed. Confined to one thread.
 */
public final class AnnouncementGaps {

	/**
	 * How long after an announcement the store has it, in milliseconds: it is written
	 * every 250 ms, and a call of the store takes up to 900 ms.
	 */
	private static final long WRITTEN_WITHIN_MS = 1_500;

	/**
	 * How long a read answers for a gap that lasts or has just ended, in milliseconds:
	 * the interval at which announcements are written.
	 */
	private static final long READ_VALID_MS = 250;

	private static final long NEVER_MS = Long.MIN_VALUE / 2;

	private long gapAtMs = NEVER_MS;

	private long readAtMs = NEVER_MS;

	/**
	 * Records that this VM may have missed announcements.
	 * @param atMs the latest time at which it may have, in milliseconds
	 */
	public void missed(long atMs) {
		this.gapAtMs = Math.max(this.gapAtMs, atMs);
	}

	/**
	 * Records that what was missed has been read.
	 * @param startedAtMs when the read started, in milliseconds
	 */
	public void read(long startedAtMs) {
		this.readAtMs = Math.max(this.readAtMs, startedAtMs);
	}

	/**
	 * Returns whether something that still counts may be missing.
	 * @param nowMs the current time in milliseconds
	 * @return {@code true} if it has to be read
	 */
	public boolean isOpen(long nowMs) {
		boolean covered = this.readAtMs - this.gapAtMs >= WRITTEN_WITHIN_MS;
		return counts(nowMs) && !covered && nowMs - this.readAtMs >= READ_VALID_MS;
	}

	/**
	 * Returns whether nothing was read since the latest gap, so that this VM may not even
	 * know which versions there are.
	 * @param nowMs the current time in milliseconds
	 * @return {@code true} if a version may be unknown
	 */
	public boolean isUnread(long nowMs) {
		return counts(nowMs) && this.readAtMs < this.gapAtMs;
	}

	private boolean counts(long nowMs) {
		return nowMs - this.gapAtMs < ServiceVersions.LATELY_MS;
	}

}
