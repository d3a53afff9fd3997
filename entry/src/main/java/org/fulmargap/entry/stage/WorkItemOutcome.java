package org.fulmargap.entry.stage;

/**
 * The outcome of a work item, or a report on its progress.
 *
 * @param itemId the submitter's id of the work item
 * @param status the status of the work item
 * @param handle the handle of the result; empty if there is none
 * @param failureDomain the failure domain that keeps the result; empty if there is none
 */
public record WorkItemOutcome(long itemId, Status status, String handle, String failureDomain) {

	/**
	 * Creates the report that a work item has read its inputs.
	 * @param itemId the id of the work item
	 * @return the report
	 */
	public static WorkItemOutcome inputsRead(long itemId) {
		return new WorkItemOutcome(itemId, Status.INPUTS_READ, "", "");
	}

	/**
	 * Creates the outcome of a work item that has a result.
	 * @param itemId the id of the work item
	 * @param handle the handle of the result
	 * @param failureDomain the failure domain that keeps the result
	 * @return the outcome
	 */
	public static WorkItemOutcome done(long itemId, String handle, String failureDomain) {
		return new WorkItemOutcome(itemId, Status.DONE, handle, failureDomain);
	}

	/**
	 * Creates the outcome of a work item that failed and is not retried.
	 * @param itemId the id of the work item
	 * @return the outcome
	 */
	public static WorkItemOutcome failed(long itemId) {
		return new WorkItemOutcome(itemId, Status.FAILED, "", "");
	}

	/**
	 * Creates the outcome of a work item that failed because an input no longer exists.
	 * @param itemId the id of the work item
	 * @return the outcome
	 */
	public static WorkItemOutcome inputGone(long itemId) {
		return new WorkItemOutcome(itemId, Status.INPUT_GONE, "", "");
	}

	/**
	 * Returns whether the work item has a result.
	 * @return {@code true} if it has
	 */
	public boolean isDone() {
		return this.status == Status.DONE;
	}

	/**
	 * The status of a work item. Messages between VMs contain the ordinal, so the order
	 * of the constants must not change.
	 */
	public enum Status {

		/**
		 * An endpoint works on the item and is assumed to have read its inputs, which are
		 * needed again only if the call fails.
		 */
		INPUTS_READ(false),

		/** There is a result. */
		DONE(true),

		/** The work item failed and is not retried. */
		FAILED(true),

		/** An input no longer exists; the stage that produced it has to run again. */
		INPUT_GONE(true);

		private final boolean last;

		Status(boolean last) {
			this.last = last;
		}

		/**
		 * Returns whether this is the last status of a work item.
		 * @return {@code true} if no other status follows
		 */
		public boolean isLast() {
			return this.last;
		}

	}

}
