package org.fulmargap.endpoint;

/**
 * Names of the HTTP headers that entry VMs and endpoints exchange.
 */
final class EndpointHeaders {

	static final String ATTEMPT = "Fulmargap-Attempt";

	static final String PRIORITY = "Fulmargap-Priority";

	static final String DEADLINE_MS = "Fulmargap-Deadline-Ms";

	static final String IDEMPOTENCY_KEY = "Idempotency-Key";

	static final String INCARNATION = "Fulmargap-Incarnation";

	static final String NOT_RUN = "Fulmargap-Not-Run";

	static final String LEAVING = "Fulmargap-Leaving";

	private EndpointHeaders() {
	}

}
