package org.fulmargap.entry.caller;

/**
 * Why a caller's connection ended.
 */
enum CloseReason {

	/** The caller closed it. */
	CALLER,

	/** An error of the connection, such as a reset, or of this program. */
	ERROR,

	/** No request was in progress for the idle timeout. */
	IDLE,

	/** This VM drains, and no request was in progress. */
	UNUSED,

	/** The answers that callers don't take use up their memory, this one for longest. */
	UNREAD,

	/** An answer that had begun was broken off. */
	ABORTED,

	/** An answer that announced the end of the connection was written. */
	LAST_ANSWER,

	/** The process ends. */
	STOPPED

}
