package org.fulmargap.ledger;

import org.fulmargap.claim.ClaimRecord;
import org.fulmargap.claim.ClaimView;

/**
 * Calls from {@link ClaimTable} to the claim service. All except {@link #createHandle}
 * are made without the lock of the table.
 */
interface ClaimActions {

	void resolve(ClaimAttempt attempt);

	void timeOut(ClaimAttempt attempt);

	void holdExpired(ClaimAttempt attempt);

	void ownerTimedOut(ClaimAttempt attempt, String ownerAttemptId);

	void queryOwner(ClaimAttempt attempt, ClaimView owner, long waitMs);

	void queryMembers(ClaimAttempt attempt, long waitMs);

	void membersTimedOut(ClaimAttempt attempt);

	void resubmit(ClaimRecord.Claim claim, ClaimAttempt.Joiner joiner);

	ClaimService.Handle createHandle(ClaimAttempt attempt);

}
