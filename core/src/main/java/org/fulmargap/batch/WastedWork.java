package org.fulmargap.batch;

import java.util.Locale;
import java.util.Optional;

/**
 * Why a work item that was in a call has no result that is of use.
 */
public enum WastedWork {

	/** The endpoint didn't find an input any more. */
	INPUT_GONE,

	/** The endpoint had no space for the result. */
	NO_ROOM,

	/** The endpoint gave it up as late, or its result came after it had expired. */
	LATE,

	/** There is a result, but the request ended without reading it. */
	UNUSED;

	/**
	 * Returns why a result is of no use to its request.
	 * @param item the work item
	 * @param cancelled whether the work item was cancelled during the call
	 * @param nowMs the current time in milliseconds
	 * @return the cause, or empty if the request can use the result
	 */
	public static Optional<WastedWork> ofResult(WorkItem item, boolean cancelled, long nowMs) {
		if (nowMs > item.expiresAtMs()) {
			return Optional.of(LATE);
		}
		return (cancelled) ? Optional.of(UNUSED) : Optional.empty();
	}

	/**
	 * Returns the name of the counter.
	 * @return the name
	 */
	public String counter() {
		return "stage_work_wasted_" + name().toLowerCase(Locale.ROOT);
	}

}
