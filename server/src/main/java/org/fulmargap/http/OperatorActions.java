package org.fulmargap.http;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import org.fulmargap.ledger.ConfigService;

/**
 * Actions and queries of operators other than changes of the configuration.
 */
public interface OperatorActions {

	/**
	 * Takes a failure domain or an endpoint out of service, or puts it back into service.
	 * @param target the kind of target
	 * @param name the name of the target
	 * @param out whether the target is taken out of service
	 * @return a future with a JSON object that lists the members that confirmed the order
	 * and those that did not
	 */
	CompletableFuture<JsonNode> order(Target target, String name, boolean out);

	/**
	 * Returns the members and orders that this entry VM knows.
	 * @return a JSON object
	 */
	JsonNode members();

	/**
	 * Finds the decision about a patch, whichever entry VM proposed it.
	 * @param patchId the identity of the patch
	 * @return the decision, or empty if the patch is pending or unknown, or its decision
	 * is no longer stored
	 */
	Optional<ConfigService.Decision> patchDecision(String patchId);

	/**
	 * Removes an entry VM that has stopped without leaving from the members.
	 * @param vm the name of the member
	 * @return a future with {@code true} if the entry VM was removed, and {@code false}
	 * if it was not a member or its removal was not confirmed in time
	 */
	CompletableFuture<Boolean> evict(String vm);

	/**
	 * Returns whether this entry VM is ready.
	 * @return the readiness
	 */
	Readiness readiness();

	/**
	 * Kinds of targets of an order.
	 */
	enum Target {

		/** A failure domain. */
		FAILURE_DOMAIN,

		/** An endpoint. */
		ENDPOINT;

		/**
		 * Returns the path segment for this kind in the operator API.
		 * @return a plural noun in lower case
		 */
		public String path() {
			return (this == FAILURE_DOMAIN) ? "failure-domains" : "endpoints";
		}

	}

	/**
	 * Readiness of an entry VM to receive requests.
	 *
	 * @param refusal the reason code why the entry VM is not ready, empty if it is ready
	 * @param nonIdempotent whether it is ready for non-idempotent requests as well
	 */
	record Readiness(Optional<String> refusal, boolean nonIdempotent) {

		/**
		 * Returns whether the entry VM is ready for idempotent requests.
		 * @return {@code true} if there is no refusal
		 */
		public boolean isReady() {
			return this.refusal.isEmpty();
		}

	}

}
