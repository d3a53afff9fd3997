package org.fulmargap.batch;

import java.util.List;

/**
 * One unit of the work of a stage for one request.
 *
 * @param itemId the number that identifies the work item at the VM that submitted it
 * @param attemptId the attempt id of the request
 * @param stage the index of the stage in the route
 * @param index the index of the work item in the stage
 * @param inputKey the key of the request's input for a stage without dependencies, else
 * an empty string
 * @param inputs the handles of the results of the dependencies; may be empty
 * @param inputDomain the failure domain in which the work item should run to be local, or
 * an empty string if any domain will do
 * @param priority the priority of the request; 0 is the most urgent
 * @param dueAtMs the deadline for the work item to be in time, in milliseconds
 * @param expiresAtMs when the result is no longer of use, in milliseconds
 * @param resultBytes the approximate size of the result in bytes
 */
public record WorkItem(long itemId, String attemptId, int stage, int index, String inputKey, List<String> inputs,
		String inputDomain, int priority, long dueAtMs, long expiresAtMs, long resultBytes) {

	/**
	 * Creates a work item.
	 */
	public WorkItem {
		inputs = List.copyOf(inputs);
	}

	/**
	 * Returns whether the work item is local to a failure domain.
	 * @param failureDomain the name of the domain
	 * @return {@code true} if it is the domain of its inputs, or if any domain will do
	 */
	public boolean isLocal(String failureDomain) {
		return this.inputDomain.isEmpty() || this.inputDomain.equals(failureDomain);
	}

	/**
	 * Returns the same work item with a limit on its expiry.
	 * @param limitAtMs the latest time at which it may expire, in milliseconds
	 * @return the work item
	 */
	public WorkItem expiringBy(long limitAtMs) {
		return new WorkItem(this.itemId, this.attemptId, this.stage, this.index, this.inputKey, this.inputs,
				this.inputDomain, this.priority, this.dueAtMs, Math.min(this.expiresAtMs, limitAtMs), this.resultBytes);
	}

}
