package org.fulmargap.server;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

import org.fulmargap.claim.ClaimKey;
import org.fulmargap.claim.RecordedOutcome;
import org.fulmargap.platform.ClaimService;
import org.fulmargap.request.Deadline;
import org.fulmargap.request.FailureType;
import org.fulmargap.request.FulmargapException;

/**
 * Claims within one process, without the log.
 */
final class ThinClaims implements ClaimService {

	private final Map<ClaimKey, Entry> entries = new ConcurrentHashMap<>();

	@Override
	public CompletableFuture<Result> claim(ClaimKey key, String digest, String attemptId, Deadline deadline) {
		Entry own = new Entry(key, digest);
		Entry present = this.entries.putIfAbsent(key, own);
		if (present == null) {
			return CompletableFuture.completedFuture(new Result.Owned(own));
		}
		if (!present.digest.equals(digest)) {
			return CompletableFuture.completedFuture(new Result.Refused(new FulmargapException(FailureType.KEY_CONFLICT,
					"KEY_CONFLICT", "the idempotency key was used with another pipeline or body")));
		}
		return present.end.thenApply((outcome) -> outcome.<Result>map(Result.Finished::new)
			.orElseGet(() -> new Result.Refused(
					new FulmargapException(FailureType.NOT_RUN, "RELEASED", "the request with this key did not run"))));
	}

	private final class Entry implements Handle {

		private final ClaimKey key;

		private final String digest;

		private final CompletableFuture<Optional<RecordedOutcome>> end = new CompletableFuture<>();

		private Entry(ClaimKey key, String digest) {
			this.key = key;
			this.digest = digest;
		}

		@Override
		public boolean markDispatched(long nowMs) {
			return true;
		}

		@Override
		public void complete(RecordedOutcome outcome) {
			this.end.complete(Optional.of(outcome));
		}

		@Override
		public void release() {
			ThinClaims.this.entries.remove(this.key, this);
			this.end.complete(Optional.empty());
		}

	}

}
