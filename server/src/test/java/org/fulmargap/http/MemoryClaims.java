package org.fulmargap.http;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

import org.fulmargap.claim.ClaimKey;
import org.fulmargap.claim.RecordedOutcome;
import org.fulmargap.ledger.ClaimService;
import org.fulmargap.request.Deadline;
import org.fulmargap.request.FailureType;
import org.fulmargap.request.FulmargapException;

/**
 * In-memory claim service that records the operations on its claims.
 */
final class MemoryClaims implements ClaimService {

	private final Map<ClaimKey, Entry> entries = new ConcurrentHashMap<>();

	private final List<String> steps = new CopyOnWriteArrayList<>();

	private volatile boolean abandonAll;

	@Override
	public CompletableFuture<Result> claim(ClaimKey key, String digest, String attemptId, Deadline deadline) {
		Entry created = new Entry(key, digest);
		Entry existing = this.entries.putIfAbsent(key, created);
		if (existing == null) {
			this.steps.add("claim");
			return CompletableFuture.completedFuture(new Result.Owned(created));
		}
		if (!existing.digest.equals(digest)) {
			return CompletableFuture.completedFuture(new Result.Refused(new FulmargapException(FailureType.KEY_CONFLICT,
					"KEY_CONFLICT", "the idempotency key was used with another pipeline or body")));
		}
		return existing.outcomeFuture.thenApply((outcome) -> outcome.<Result>map(Result.Finished::new)
			.orElseGet(() -> new Result.Refused(
					new FulmargapException(FailureType.NOT_RUN, "RELEASED", "the request with this key did not run"))));
	}

	List<String> steps() {
		return this.steps;
	}

	void abandonAll() {
		this.abandonAll = true;
	}

	private final class Entry implements Handle {

		private final ClaimKey key;

		private final String digest;

		private final CompletableFuture<Optional<RecordedOutcome>> outcomeFuture = new CompletableFuture<>();

		private Entry(ClaimKey key, String digest) {
			this.key = key;
			this.digest = digest;
		}

		@Override
		public boolean markDispatched(long nowMs) {
			MemoryClaims.this.steps.add("dispatch");
			return !MemoryClaims.this.abandonAll;
		}

		@Override
		public void complete(RecordedOutcome outcome) {
			MemoryClaims.this.steps.add(outcome.unknown() ? "unknown" : "complete");
			this.outcomeFuture.complete(Optional.of(outcome));
		}

		@Override
		public void release() {
			MemoryClaims.this.steps.add("release");
			MemoryClaims.this.entries.remove(this.key, this);
			this.outcomeFuture.complete(Optional.empty());
		}

	}

}
