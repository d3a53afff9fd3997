package org.fulmargap.timeline;

/**
 * Types of event that an entry VM records.
 */
public enum EventType {

	/** The process has started. */
	STARTED,

	/** The graceful shutdown has begun. */
	DRAINING,

	/** The process has stopped. */
	STOPPED,

	/** A request passed the checks of its form. */
	REQUEST_ACCEPTED,

	/** A request ended with an answer. */
	REQUEST_ANSWERED,

	/** A request ended with a typed failure. */
	REQUEST_FAILED,

	/** A claim was decided. */
	CLAIM_DECIDED,

	/** A stage attempt is sent to an endpoint. */
	STAGE_DISPATCHED,

	/** A stage attempt delivered its result. */
	STAGE_ANSWERED,

	/** A stage attempt failed. */
	STAGE_FAILED,

	/** An answer that belongs to another attempt was dropped. */
	CROSSED_ANSWER,

	/** A call made no progress and its endpoint was probed. */
	PROBED,

	/** Endpoints crashed while a request ran on them. */
	CRASH_STRIKE,

	/** A configuration version came into force. */
	CONFIG_IN_FORCE,

	/** A configuration patch was decided. */
	PATCH_DECIDED,

	/** An administrative order was received from an operator. */
	ORDER_RECEIVED,

	/** The orders in force changed. */
	ORDER_IN_FORCE,

	/** An endpoint was found to be leaving. */
	ENDPOINT_LEAVING,

	/** The state of the platform's log or VM list changed. */
	PLATFORM_STATE,

	/** A message of a peer or a link to a peer failed. */
	PEER_EVENT,

	/** A condition that must always hold was found violated. */
	INVARIANT_VIOLATED;

	/**
	 * Tells whether an operator should look at an event of this type.
	 * @return {@code true} if the event is logged as a warning
	 */
	public boolean isWarning() {
		return this == INVARIANT_VIOLATED || this == CROSSED_ANSWER || this == CRASH_STRIKE;
	}

}
