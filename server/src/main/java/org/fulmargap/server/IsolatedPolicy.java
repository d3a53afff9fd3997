package org.fulmargap.server;

/**
 * Behaviour of an entry VM that cannot reach any other failure domain or the log.
 */
enum IsolatedPolicy {

	/** Serves requests with the endpoints of its own failure domain. */
	SERVE_OWN_DOMAIN,

	/** Refuses all requests as not run. */
	STOP;

	boolean refusesRequests() {
		return this == STOP;
	}

}
