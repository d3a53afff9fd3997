package org.fulmargap.config;

import java.util.Objects;

/**
 * Event that the configuration ledger reports while it applies the stream.
 *
 * @param type the type of event
 * @param offset the offset of the record concerned
 * @param detail a human-readable description
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

		/** A patch was proposed and is pending. */
		PROPOSED(false),

		/** A patch was committed and is in force. */
		COMMITTED(false),

		/** A patch was refused. */
		REFUSED(false),

		/** An entry VM joined. */
		JOINED(false),

		/** An entry VM left or was evicted. */
		REMOVED(false),

		/** An administrative order changed. */
		ORDERED(false),

		/** A record has no effect, for example because it is a repeated append. */
		IGNORED(false),

		/** A commit was ignored because acknowledgements are missing. */
		UNACKNOWLEDGED_COMMIT(false),

		/** A record cannot be parsed and was skipped. */
		UNREADABLE(false),

		/** Records are missing, usually because of retention; a snapshot is needed. */
		GAP(false),

		/** The state was restored from a snapshot. */
		SNAPSHOT_INSTALLED(false),

		/** A snapshot in the stream is older than the state. */
		STALE_SNAPSHOT(false),

		/** A snapshot in the stream contradicts the state. */
		DIVERGED(true),

		/** The stream ends at a version below one that was in force before. */
		VERSION_BELOW_HELD(true);

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
			return this == IGNORED;
		}

	}

}
