package org.fulmargap.ledger;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import org.fulmargap.config.Configuration;

/**
 * Provides the configuration in force and accepts patches.
 */
public interface ConfigService {

	/**
	 * Returns the configuration in force.
	 * @return an immutable view; a request uses one view from start to end
	 */
	View current();

	/**
	 * Proposes a patch and waits for the decision.
	 * @param patchId the identity of the patch, globally unique and never reused
	 * @param expectedVersion the version that the patch applies to
	 * @param mergePatch a JSON Merge Patch (RFC 7396)
	 * @return a future with the decision, never completed exceptionally
	 */
	CompletableFuture<Decision> patch(String patchId, long expectedVersion, JsonNode mergePatch);

	/**
	 * The configuration as known to one entry VM.
	 *
	 * @param version the version in force
	 * @param configuration the configuration in force
	 * @param pending the configuration that a pending patch would put in force, present
	 * while this entry VM is in doubt about the patch
	 * @param known whether this entry VM has a state that is not behind the version of a
	 * peer; a short lag after a commit does not count
	 */
	record View(long version, Configuration configuration, Optional<Configuration> pending, boolean known) {
	}

	/**
	 * Decision about a patch.
	 *
	 * @param accepted whether the patch is in force
	 * @param version the version in force after the decision
	 * @param refusal why the patch was refused, empty if it was accepted
	 * @param message a human-readable message; names the members that did not acknowledge
	 * the patch
	 */
	record Decision(boolean accepted, long version, Optional<PatchRefusal> refusal, String message) {
	}

	/**
	 * Reasons for the refusal of a patch.
	 */
	enum PatchRefusal {

		/** The expected version is not the version in force. */
		STALE_VERSION(409),

		/** The patched document is not valid. */
		INVALID(400),

		/** Another patch is pending. */
		CONFLICT(409),

		/** Not every member acknowledged the patch in time. */
		NOT_ACKNOWLEDGED(503),

		/** The log was unavailable, and the patch was not proposed. */
		LOG_UNAVAILABLE(503),

		/** The log stopped responding after the proposal. */
		DECISION_UNKNOWN(502);

		private final int httpStatus;

		PatchRefusal(int httpStatus) {
			this.httpStatus = httpStatus;
		}

		/**
		 * Returns the HTTP status that reports this refusal.
		 * @return a status from 400 to 599
		 */
		public int httpStatus() {
			return this.httpStatus;
		}

	}

}
