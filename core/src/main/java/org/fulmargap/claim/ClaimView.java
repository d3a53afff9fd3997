package org.fulmargap.claim;

import java.util.Objects;
import java.util.Optional;

/**
 * Immutable view of a claim that the ledger holds.
 *
 * @param attemptId the id of the attempt that made the claim
 * @param incarnation the incarnation that made the claim
 * @param digest the digest of pipeline and body
 * @param claimedAtMs when the claim was made, milliseconds since the epoch
 * @param outcome the outcome, if one is recorded
 */
public record ClaimView(String attemptId, String incarnation, String digest, long claimedAtMs,
		Optional<RecordedOutcome> outcome) {

	/**
	 * Checks the components.
	 */
	public ClaimView {
		Objects.requireNonNull(attemptId, "attemptId");
		Objects.requireNonNull(incarnation, "incarnation");
		Objects.requireNonNull(digest, "digest");
		Objects.requireNonNull(outcome, "outcome");
	}

}
