package org.fulmargap.batch;

import java.util.List;

/**
 * One unit of the work of a stage for one request.
 *
 * @param itemId the number under which the submitter knows the work item
 * @param attemptId the identity of the request
 * @param stage the index of the stage in the route
 * @param index the index of the work item in the stage
 * @param inputKey the key of the request's input, or an empty text if it has inputs
 * @param inputs the results of earlier stages, or an empty list
 * @param inputDomain the failure domain where most of the inputs lie, or an empty text
 * @param priority the rank of the request; 0 is the most urgent
 * @param dueAtMs when the work item should be done, in milliseconds
 * @param expiresAtMs when nobody needs the work item any more, in milliseconds
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
	 * Tells whether a failure domain is the best one for the work item.
	 * @param failureDomain the name of the domain
	 * @return {@code true} if its inputs lie there, or if it has none to speak of
	 */
	public boolean isLocal(String failureDomain) {
		return this.inputDomain.isEmpty() || this.inputDomain.equals(failureDomain);
	}

}
