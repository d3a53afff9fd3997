package org.fulmargap.admission;

import java.util.Objects;

import org.fulmargap.request.Deadline;
import org.fulmargap.request.Priority;

/**
 * A request that waits for admission.
 *
 * @param account the name of the client account
 * @param weight the share of the account under contention, at least one
 * @param priority the priority of the request
 * @param deadline the deadline of the request
 * @param expectedMs the expected time in milliseconds from the start to the answer
 */
public record AdmissionRequest(String account, int weight, Priority priority, Deadline deadline, long expectedMs) {

	/**
	 * Checks the components.
	 */
	public AdmissionRequest {
		Objects.requireNonNull(account, "account");
		Objects.requireNonNull(priority, "priority");
		Objects.requireNonNull(deadline, "deadline");
		if (weight < 1) {
			throw new IllegalArgumentException("weight must be at least 1: " + weight);
		}
	}

}
