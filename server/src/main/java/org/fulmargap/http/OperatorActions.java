package org.fulmargap.http;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import org.fulmargap.ledger.ConfigService;

/**
 * What operators can do besides changing the configuration.
 */
public interface OperatorActions {

	/**
	 * Takes a failure domain or an endpoint out of service or back in.
	 * @param target the kind of target
	 * @param name the name of the target
	 * @param out whether the target is taken out
	 * @return a future with the members that confirmed and those that did not
	 */
	CompletableFuture<JsonNode> order(Target target, String name, boolean out);

	/**
	 * Returns the members as this entry VM sees them.
	 * @return a JSON object
	 */
	JsonNode members();

	/**
	 * Finds the decision about a patch that any entry VM proposed.
	 * @param patchId the identity of the patch
	 * @return the decision, or empty if the patch is pending, unknown or too old
	 */
	Optional<ConfigService.Decision> patchDecision(String patchId);

	/**
	 * Removes a member that is gone.
	 * @param vm the name of the member
	 * @return a future that says whether the entry VM is no member any more
	 */
	CompletableFuture<Boolean> evict(String vm);

	/**
	 * Says whether this entry VM is ready.
	 * @return the state of readiness
	 */
	Readiness readiness();

	/**
	 * Kinds of target of an order.
	 */
	enum Target {

		/** A failure domain. */
		FAILURE_DOMAIN,

		/** An endpoint. */
		ENDPOINT;

		/**
		 * Returns the word for this kind in the path of the operator API.
		 * @return a plural in lower case
		 */
		public String path() {
			return (this == FAILURE_DOMAIN) ? "failure-domains" : "endpoints";
		}

	}

	/**
	 * State of readiness.
	 *
	 * @param refusal why the entry VM is not ready, empty if it is ready
	 * @param nonIdempotent whether it is ready for non-idempotent requests as well
	 */
	record Readiness(Optional<String> refusal, boolean nonIdempotent) {

		/**
		 * Tells whether the entry VM is ready for idempotent requests.
		 * @return {@code true} if nothing stands against it
		 */
		public boolean isReady() {
			return this.refusal.isEmpty();
		}

	}

}
