package org.fulmargap.ledger;

import org.fulmargap.claim.ClaimRecord;
import org.fulmargap.claim.ClaimView;

/**
 * What {@link ClaimTable} asks of its surroundings. Called without the lock.
 */
interface ClaimActions {

	void resolve(ClaimAttempt attempt);

	void giveUp(ClaimAttempt attempt);

	void holdEnded(ClaimAttempt attempt);

	void ownerSilent(ClaimAttempt attempt, String ownerAttemptId);

	void askOwner(ClaimAttempt attempt, ClaimView owner, long waitMs);

	void askMembers(ClaimAttempt attempt, long waitMs);

	void membersSilent(ClaimAttempt attempt);

	void resubmit(ClaimRecord.Claim claim, ClaimAttempt.Joiner joiner);

	ClaimService.Handle handle(ClaimAttempt attempt);

}
