package org.fulmargap.entry.stage;

/**
 * The outcome of a work item, or a report on its progress.
 *
 * @param itemId the submitter's id of the work item
 * @param status the status of the work item
 * @param handle the handle of the result; empty if there is none
 * @param failureDomain the failure domain that keeps the result; empty if there is none
 * @param makerStartedAtMs when the process that keeps the result started, in milliseconds
 * since the epoch; 0 if it is not known
 */
public record WorkItemOutcome(long itemId, Status status, String handle, String failureDomain, long makerStartedAtMs) {

	/**
	 * Creates the report that a work item has read its inputs.
	 * @param itemId the id of the work item
	 * @return the report
	 */
	public static WorkItemOutcome inputsRead(long itemId) {
		return new WorkItemOutcome(itemId, Status.INPUTS_READ, "", "", 0);
	}

	/**
	 * Creates the outcome of a work item that has a result.
	 * @param itemId the id of the work item
	 * @param handle the handle of the result
	 * @param failureDomain the failure domain that keeps the result
	 * @param makerStartedAtMs when the process that keeps the result started, in
	 * milliseconds since the epoch
	 * @return the outcome
	 */
	public static WorkItemOutcome done(long itemId, String handle, String failureDomain, long makerStartedAtMs) {
		return new WorkItemOutcome(itemId, Status.DONE, handle, failureDomain, makerStartedAtMs);
	}

	/**
	 * Creates the outcome of a work item that failed and is not retried.
	 * @param itemId the id of the work item
	 * @return the outcome
	 */
	public static WorkItemOutcome failed(long itemId) {
		return new WorkItemOutcome(itemId, Status.FAILED, "", "", 0);
	}

	/**
	 * Creates the outcome of a work item that failed because an input no longer exists.
	 * @param itemId the id of the work item
	 * @return the outcome
	 */
	public static WorkItemOutcome inputGone(long itemId) {
		return new WorkItemOutcome(itemId, Status.INPUT_GONE, "", "", 0);
	}

	/**
	 * Returns whether the work item has a result.
	 * @return {@code true} if it has
	 */
	public boolean isDone() {
		return this.status == Status.DONE;
	}

	/**
	 * Returns this outcome with another process that keeps the result.
	 * @param startedAtMs when the process started, in milliseconds since the epoch
	 * @return the outcome
	 */
	public WorkItemOutcome madeBy(long startedAtMs) {
		return new WorkItemOutcome(this.itemId, this.status, this.handle, this.failureDomain, startedAtMs);
	}

	/**
	 * Returns the address of the endpoint that keeps the result.
	 * @return the address as {@code IP:port}; empty if there is no result
	 */
	public String makerAddress() {
		return ResultHandles.address(this.handle);
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
