package org.fulmargap.http;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.fulmargap.request.Deadline;
import org.fulmargap.request.FailureType;
import org.fulmargap.request.FulmargapException;
import org.fulmargap.request.Priority;

/**
 * Determines the deadline and the priority of a request.
 */
final class DeadlineFilter implements RequestFilter {

	private static final String DEADLINE_HEADER = "Fulmargap-Deadline-Ms";

	private static final String PRIORITY_HEADER = "Fulmargap-Priority";

	@Override
	public CompletableFuture<Reply> apply(Exchange exchange, Next next) throws FulmargapException {
		long limitMs = exchange.pipeline.deadlineMs();
		Optional<String> header = exchange.callerRequest.header(DEADLINE_HEADER);
		if (header.isPresent()) {
			limitMs = Math.min(limitMs, milliseconds(header.get()));
		}
		if (limitMs <= 0) {
			throw new FulmargapException(FailureType.DEADLINE_EXCEEDED, "DEADLINE_PASSED",
					"the deadline had passed when the request arrived");
		}
		exchange.deadline = Deadline.after(exchange.arrivedAtMs, limitMs);
		exchange.priority = priority(exchange.callerRequest.header(PRIORITY_HEADER))
			.atMost(exchange.account.maxPriority());
		return next.proceed();
	}

	private static long milliseconds(String text) throws FulmargapException {
		try {
			return Long.parseLong(text.strip());
		}
		catch (NumberFormatException ex) {
			throw new FulmargapException(FailureType.MALFORMED_REQUEST, "DEADLINE_INVALID",
					DEADLINE_HEADER + " must be a whole number of milliseconds", ex);
		}
	}

	private static Priority priority(Optional<String> text) throws FulmargapException {
		if (text.isEmpty()) {
			return Priority.NORMAL;
		}
		try {
			return Priority.valueOf(text.get().strip());
		}
		catch (IllegalArgumentException ex) {
			throw new FulmargapException(FailureType.MALFORMED_REQUEST, "PRIORITY_INVALID",
					PRIORITY_HEADER + " must be LOW, NORMAL or HIGH", ex);
		}
	}

}
