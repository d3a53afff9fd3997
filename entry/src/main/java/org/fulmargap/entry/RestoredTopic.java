package org.fulmargap.entry;

/**
 * What a VM uses on of the earlier history of a topic after the store came back from an
 * older copy. The copy may lack records that are written again soon, and may list records
 * that were replaced or removed since. Confined to the event loop.
 */
final class RestoredTopic {

	private static final long NEVER_MS = Long.MIN_VALUE / 2;

	private final long missingMs;

	private final long outdatedMs;

	private long restoredAtMs = NEVER_MS;

	private boolean missingDropped = true;

	/**
	 * Creates a topic whose store has not been restored.
	 * @param missingMs how long a record that the copy lacks may take to be written
	 * again, in milliseconds
	 * @param outdatedMs how long the copy may list a record that was replaced or removed,
	 * in milliseconds
	 */
	RestoredTopic(long missingMs, long outdatedMs) {
		this.missingMs = missingMs;
		this.outdatedMs = outdatedMs;
	}

	/**
	 * Records that the store has come back from an older copy.
	 * @param returnedAtMs when this VM learned of it, in milliseconds
	 */
	void restored(long returnedAtMs) {
		this.restoredAtMs = returnedAtMs;
		this.missingDropped = false;
	}

	/**
	 * Returns until when the copy may list records that were replaced or removed.
	 * @return the time in milliseconds, in the past unless the store came back shortly
	 * before
	 */
	long outdatedUntilMs() {
		return this.restoredAtMs + this.outdatedMs;
	}

	/**
	 * Returns whether the records that the copy lacks are to be dropped now.
	 * @param nowMs the current time in milliseconds
	 * @return {@code true} once after each return of the store
	 */
	boolean dropsMissing(long nowMs) {
		boolean due = !this.missingDropped && nowMs - this.restoredAtMs >= this.missingMs;
		this.missingDropped |= due;
		return due;
	}

}
