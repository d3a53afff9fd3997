package org.fulmargap.server;

/**
 * What an entry VM does that is cut off from all other failure domains and the log.
 */
enum IsolatedPolicy {

	/** It serves with the endpoints of its own failure domain. */
	SERVE_OWN_DOMAIN,

	/** It refuses all requests as not run. */
	STOP;

	boolean refusesRequests() {
		return this == STOP;
	}

}
