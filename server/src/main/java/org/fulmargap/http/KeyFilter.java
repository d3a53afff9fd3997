package org.fulmargap.http;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.fulmargap.claim.ClaimKey;
import org.fulmargap.request.FailureType;
import org.fulmargap.request.FulmargapException;

/**
 * Checks the form, the presence and the age of the idempotency key.
 */
final class KeyFilter implements RequestFilter {

	private static final String KEY_HEADER = "Idempotency-Key";

	private static final String ISSUED_HEADER = "Fulmargap-Key-Issued-At-Ms";

	private final long keyLifetimeMs;

	KeyFilter(long keyLifetimeMs) {
		this.keyLifetimeMs = keyLifetimeMs;
	}

	@Override
	public CompletableFuture<Reply> apply(Exchange exchange, Next next) throws FulmargapException {
		Optional<String> key = exchange.callerRequest.header(KEY_HEADER);
		if (key.isPresent() && !ClaimKey.isValidKey(key.get())) {
			throw new FulmargapException(FailureType.KEY_INVALID, "KEY_INVALID",
					KEY_HEADER + " must be 1 to " + ClaimKey.MAX_KEY_CHARS + " visible ASCII characters");
		}
		if (key.isEmpty() && !exchange.pipeline.idempotent()) {
			throw new FulmargapException(FailureType.KEY_REQUIRED, "KEY_REQUIRED", "pipeline " + exchange.pipelineName
					+ " is not idempotent, so the header " + KEY_HEADER + " is required");
		}
		checkAge(exchange);
		exchange.idempotencyKey = key;
		return next.proceed();
	}

	private void checkAge(Exchange exchange) throws FulmargapException {
		Optional<String> issued = exchange.callerRequest.header(ISSUED_HEADER);
		if (issued.isEmpty() || exchange.pipeline.idempotent()) {
			return;
		}
		long issuedAtMs;
		try {
			issuedAtMs = Long.parseLong(issued.get().strip());
		}
		catch (NumberFormatException ex) {
			throw new FulmargapException(FailureType.MALFORMED_REQUEST, "KEY_AGE_INVALID",
					ISSUED_HEADER + " must be a whole number of milliseconds since the epoch", ex);
		}
		if (exchange.arrivedAtMs - issuedAtMs > this.keyLifetimeMs) {
			throw new FulmargapException(FailureType.KEY_EXPIRED, "KEY_EXPIRED",
					"the idempotency key is older than " + this.keyLifetimeMs + " ms");
		}
	}

}
