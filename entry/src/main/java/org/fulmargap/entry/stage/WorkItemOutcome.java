package org.fulmargap.entry.stage;

/**
 * What became of a work item of a stage.
 *
 * @param itemId the number under which the submitter knows the work item
 * @param status how far the work item is
 * @param handle the name of the result; empty if there is none
 * @param failureDomain where the result lies; empty if there is none
 */
public record WorkItemOutcome(long itemId, Status status, String handle, String failureDomain) {

	/**
	 * Describes a work item whose inputs its endpoint has read.
	 * @param itemId the number of the work item
	 * @return the outcome
	 */
	public static WorkItemOutcome inputsRead(long itemId) {
		return new WorkItemOutcome(itemId, Status.INPUTS_READ, "", "");
	}

	/**
	 * Describes a work item that is done.
	 * @param itemId the number of the work item
	 * @param handle the name of the result
	 * @param failureDomain where the result lies
	 * @return the outcome
	 */
	public static WorkItemOutcome done(long itemId, String handle, String failureDomain) {
		return new WorkItemOutcome(itemId, Status.DONE, handle, failureDomain);
	}

	/**
	 * Describes a work item that failed for good.
	 * @param itemId the number of the work item
	 * @return the outcome
	 */
	public static WorkItemOutcome failed(long itemId) {
		return new WorkItemOutcome(itemId, Status.FAILED, "", "");
	}

	/**
	 * Describes a work item that can't be made because an input is gone.
	 * @param itemId the number of the work item
	 * @return the outcome
	 */
	public static WorkItemOutcome inputGone(long itemId) {
		return new WorkItemOutcome(itemId, Status.INPUT_GONE, "", "");
	}

	/**
	 * Tells whether there is a result.
	 * @return {@code true} if there is
	 */
	public boolean isDone() {
		return this.status == Status.DONE;
	}

	/**
	 * How far a work item is.
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
		 * Tells whether nothing more is heard of the work item.
		 * @return {@code true} if it is the last status
		 */
		public boolean isLast() {
			return this.last;
		}

	}

}
