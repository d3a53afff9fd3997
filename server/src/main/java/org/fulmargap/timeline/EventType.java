package org.fulmargap.timeline;

/**
 * Types of the events that an entry VM records in its timeline.
 */
public enum EventType {

	/** The entry VM has started and listens for callers, operators and peers. */
	STARTED,

	/** The graceful shutdown has begun. */
	DRAINING,

	/** The entry VM has stopped, after a graceful shutdown or without one. */
	STOPPED,

	/** A request was authenticated and found valid. It may still be refused. */
	REQUEST_ACCEPTED,

	/** A request succeeded. */
	REQUEST_ANSWERED,

	/** A request failed, or a retry got the recorded failure of an earlier request. */
	REQUEST_FAILED,

	/**
	 * The attempt to claim an idempotency key ended: the key is owned, another request
	 * with it has finished, or the request is refused.
	 */
	CLAIM_DECIDED,

	/** A stage attempt is about to be sent to an endpoint. */
	STAGE_DISPATCHED,

	/** A stage attempt delivered its result. */
	STAGE_ANSWERED,

	/** A stage attempt failed. */
	STAGE_FAILED,

	/** An answer that belongs to another attempt was discarded. */
	CROSSED_ANSWER,

	/** The endpoint of a call without progress was probed. */
	PROBED,

	/** An endpoint crashed while requests were in flight on it. */
	CRASH_STRIKE,

	/** A configuration version took effect at this entry VM. */
	CONFIG_IN_FORCE,

	/** A configuration patch that an operator sent to this entry VM was decided. */
	PATCH_DECIDED,

	/** An administrative order was received from an operator. */
	ORDER_RECEIVED,

	/** The administrative orders in force changed. */
	ORDER_IN_FORCE,

	/** An endpoint reported that it is leaving. */
	ENDPOINT_LEAVING,

	/**
	 * Access to the platform's log or VM list failed or recovered, or the configuration
	 * was copied from a peer because the log did not answer.
	 */
	PLATFORM_STATE,

	/** A link to a peer was opened, failed or was closed, or a message failed. */
	PEER_EVENT,

	/** A violation of a condition that must always hold was detected. */
	INVARIANT_VIOLATED;

	/**
	 * Returns whether events of this type need the attention of an operator.
	 * @return {@code true} if the events are logged as warnings
	 */
	public boolean isWarning() {
		return this == INVARIANT_VIOLATED || this == CROSSED_ANSWER || this == CRASH_STRIKE;
	}

}
