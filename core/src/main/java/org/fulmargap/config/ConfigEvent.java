package org.fulmargap.config;

import java.util.Objects;

/**
 * Something that the configuration ledger noticed while it read the stream.
 *
 * @param type what happened
 * @param offset the offset of the record concerned
 * @param detail a text for people
 */
public record ConfigEvent(Type type, long offset, String detail) {

	/**
	 * Checks the components.
	 */
	public ConfigEvent {
		Objects.requireNonNull(type, "type");
		Objects.requireNonNull(detail, "detail");
	}

	/**
	 * Types of event.
	 */
	public enum Type {

		/** A patch is pending. */
		PROPOSED(false),

		/** A patch is in force. */
		COMMITTED(false),

		/** A patch was refused. */
		REFUSED(false),

		/** The members changed by a join. */
		JOINED(false),

		/** The members changed by a leave or an eviction. */
		REMOVED(false),

		/** An administrative order changed. */
		ORDERED(false),

		/** A record has no effect, for example because it is a repeated append. */
		IGNORED(false),

		/** A commit does not count because acknowledgements are missing. */
		UNACKNOWLEDGED_COMMIT(false),

		/** A record cannot be parsed and was skipped. */
		UNREADABLE(false),

		/** Records were lost to retention; the ledger looks for a snapshot. */
		GAP(false),

		/** The state was taken from a snapshot. */
		SNAPSHOT_INSTALLED(false),

		/** A snapshot in the stream is older than the state. */
		STALE_SNAPSHOT(false),

		/** A snapshot in the stream contradicts the state. */
		DIVERGED(true),

		/** The stream led to a version below one that was in force before. */
		VERSION_BELOW_HELD(true);

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
			return this == IGNORED;
		}

	}

}
