package org.fulmargap.entry;

import java.util.HashSet;
import java.util.Set;

/**
 * What a VM uses on of the earlier history of a topic after the store came back from an
 * older copy. The copy may lack records that are written again soon, and may list records
 * that were replaced or removed since. Confined to the event loop.
 */
final class RestoredTopic {

	private static final long NEVER_MS = Long.MIN_VALUE / 2;

	private final long missingMs;

	private final long outdatedMs;

	private final Set<String> outdated = new HashSet<>();

	private long restoredAtMs = NEVER_MS;

	private boolean missingDropped = true;

	private boolean outdatedDropped = true;

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
		this.outdatedDropped = false;
	}

	/**
	 * Returns whether a record of the copy may have been replaced or removed.
	 * @param nowMs the current time in milliseconds
	 * @return {@code true} shortly after the store came back
	 */
	boolean mayBeOutdated(long nowMs) {
		return nowMs - this.restoredAtMs < this.outdatedMs;
	}

	/**
	 * Records that a record was not applied because it is outdated.
	 * @param key its key
	 */
	void skipped(String key) {
		this.outdated.add(key);
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

	/**
	 * Returns the keys of the skipped records when they are to be applied, because
	 * nothing newer was written.
	 * @param nowMs the current time in milliseconds
	 * @return the keys, once after each return of the store; else none
	 */
	Set<String> dueRecords(long nowMs) {
		if (this.outdatedDropped || mayBeOutdated(nowMs)) {
			return Set.of();
		}
		this.outdatedDropped = true;
		Set<String> due = Set.copyOf(this.outdated);
		this.outdated.clear();
		return due;
	}

}
