package org.fulmargap.claim;

import java.util.Objects;

/**
 * Something that the claim ledger noticed while it read the stream.
 *
 * @param type what happened
 * @param offset the offset of the record concerned
 * @param detail a text for people
 */
public record ClaimEvent(Type type, long offset, String detail) {

	/**
	 * Checks the components.
	 */
	public ClaimEvent {
		Objects.requireNonNull(type, "type");
		Objects.requireNonNull(detail, "detail");
	}

	/**
	 * Types of event.
	 */
	public enum Type {

		/** A record cannot be parsed and was skipped. */
		UNREADABLE(false),

		/** Records were lost to retention; the ledger is incomplete. */
		GAP(false),

		/** The ledger has become complete. */
		COMPLETE(false),

		/** An outcome belongs to a claim that the ledger does not hold. */
		OUTCOME_WITHOUT_CLAIM(false),

		/** A record contradicts the claims known to a ledger that is incomplete. */
		NOT_JUDGED(false),

		/** An outcome belongs to a claim that does not own its key. */
		OUTCOME_OF_LOSER(true),

		/** An outcome belongs to a claim that was released. */
		OUTCOME_AFTER_RELEASE(true),

		/** A claim was released although its outcome is recorded. */
		RELEASE_AFTER_OUTCOME(true);

		private final boolean violation;

		Type(boolean violation) {
			this.violation = violation;
		}

		/**
		 * Tells whether the event contradicts an invariant of the program.
		 * @return {@code true} if the event must never happen
		 */
		public boolean isViolation() {
			return this.violation;
		}

		/**
		 * Tells whether the event is frequent in normal service and only counted.
		 * @return {@code true} if the event is not logged
		 */
		public boolean isRoutine() {
			return this == OUTCOME_WITHOUT_CLAIM || this == NOT_JUDGED;
		}

	}

}
