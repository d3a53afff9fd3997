package org.fulmargap.ledger;

import org.fulmargap.claim.ClaimView;
import org.fulmargap.claim.RecordedOutcome;
import org.fulmargap.request.FailureType;
import org.fulmargap.request.FulmargapException;

/**
 * Results of claims that do not own their key.
 */
final class ClaimRefusals {

	private ClaimRefusals() {
	}

	static ClaimService.Result finishedOrConflict(ClaimAttempt attempt, ClaimView owner, RecordedOutcome outcome) {
		return owner.digest().equals(attempt.claim.digest()) ? new ClaimService.Result.Finished(outcome) : conflict();
	}

	static ClaimService.Result conflict() {
		return new ClaimService.Result.Refused(new FulmargapException(FailureType.KEY_CONFLICT, "DIGEST_DIFFERS",
				"the idempotency key was used before with another pipeline or body"));
	}

	static FulmargapException notRun() {
		return new FulmargapException(FailureType.NOT_RUN, "LOG_UNAVAILABLE",
				"the log is unavailable and no member ran the request");
	}

	static FulmargapException outcomeUnknown(String reason, String message) {
		return new FulmargapException(FailureType.OUTCOME_UNKNOWN, reason, message);
	}

}
