package org.fulmargap.entry.stage;

/**
 * What became of a piece of a stage.
 *
 * @param ticket the number under which the submitter knows the piece
 * @param status how far the piece is
 * @param handle the name of the result; empty if there is none
 * @param failureDomain where the result lies; empty if there is none
 */
public record PieceOutcome(long ticket, Status status, String handle, String failureDomain) {

	/**
	 * Describes a piece whose inputs its endpoint has read.
	 * @param ticket the number of the piece
	 * @return the outcome
	 */
	public static PieceOutcome inputsRead(long ticket) {
		return new PieceOutcome(ticket, Status.INPUTS_READ, "", "");
	}

	/**
	 * Describes a piece that is done.
	 * @param ticket the number of the piece
	 * @param handle the name of the result
	 * @param failureDomain where the result lies
	 * @return the outcome
	 */
	public static PieceOutcome done(long ticket, String handle, String failureDomain) {
		return new PieceOutcome(ticket, Status.DONE, handle, failureDomain);
	}

	/**
	 * Describes a piece that failed for good.
	 * @param ticket the number of the piece
	 * @return the outcome
	 */
	public static PieceOutcome failed(long ticket) {
		return new PieceOutcome(ticket, Status.FAILED, "", "");
	}

	/**
	 * Describes a piece that can't be made because an input is gone.
	 * @param ticket the number of the piece
	 * @return the outcome
	 */
	public static PieceOutcome inputGone(long ticket) {
		return new PieceOutcome(ticket, Status.INPUT_GONE, "", "");
	}

	/**
	 * Tells whether there is a result.
	 * @return {@code true} if there is
	 */
	public boolean isDone() {
		return this.status == Status.DONE;
	}

	/**
	 * How far a piece is.
	 */
	public enum Status {

		/** An endpoint works on it and needs its inputs no more. */
		INPUTS_READ(false),

		/** There is a result. */
		DONE(true),

		/** There is no result, and will be none. */
		FAILED(true),

		/** An input is gone; the stages before have to make it again. */
		INPUT_GONE(true);

		private final boolean last;

		Status(boolean last) {
			this.last = last;
		}

		/**
		 * Tells whether nothing more is heard of the piece.
		 * @return {@code true} if it is the last status
		 */
		public boolean isLast() {
			return this.last;
		}

	}

}
