package org.fulmargap.entry.peer;

/**
 * Why a relayed connection was closed.
 */
enum RelayEnd {

	/** The other VM closed its connection. */
	PEER_CLOSED,

	/** The connection of the other VM broke. */
	PEER_BROKEN,

	/** The other VM closed its connection after the endpoint had ended its output. */
	ENDPOINT_ENDED,

	/** The connection to the endpoint broke. */
	ENDPOINT_BROKEN,

	/** Nothing was sent in either direction for too long. */
	IDLE

}
