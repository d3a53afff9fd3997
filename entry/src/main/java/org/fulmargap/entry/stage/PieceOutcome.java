package org.fulmargap.entry.stage;

/**
 * What came of a piece of a stage.
 *
 * @param ticket the number under which the submitter knows the piece
 * @param handle the name of the result; empty if the piece failed
 * @param failureDomain where the result lies
 */
public record PieceOutcome(long ticket, String handle, String failureDomain) {

	/**
	 * Describes a piece that failed for good.
	 * @param ticket the number of the piece
	 * @return the outcome
	 */
	public static PieceOutcome failed(long ticket) {
		return new PieceOutcome(ticket, "", "");
	}

	/**
	 * Tells whether there is a result.
	 * @return {@code true} if there is
	 */
	public boolean isDone() {
		return !this.handle.isEmpty();
	}

}
