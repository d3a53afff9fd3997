package org.fulmargap.claim;

import java.util.Objects;

/**
 * Event that the claim ledger reports while it applies the stream.
 *
 * @param type the type of event
 * @param offset the offset of the record concerned
 * @param detail a human-readable description
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

		/**
		 * Records are missing, usually because of retention; the ledger is incomplete.
		 */
		GAP(false),

		/** The ledger has become complete. */
		COMPLETE(false),

		/** An outcome belongs to a claim that the ledger does not hold. */
		OUTCOME_WITHOUT_CLAIM(false),

		/** A record contradicts an incomplete ledger, which may have the wrong owner. */
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
		 * Returns whether the event violates an invariant.
		 * @return {@code true} if the event must never happen
		 */
		public boolean isViolation() {
			return this.violation;
		}

		/**
		 * Returns whether the event is frequent in normal operation.
		 * @return {@code true} if the event is counted but not logged
		 */
		public boolean isRoutine() {
			return this == OUTCOME_WITHOUT_CLAIM || this == NOT_JUDGED;
		}

	}

}
