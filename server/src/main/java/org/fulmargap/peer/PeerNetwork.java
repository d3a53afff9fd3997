package org.fulmargap.peer;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.fulmargap.claim.ClaimKey;
import org.fulmargap.claim.RecordedOutcome;

/**
 * Messages between entry VMs.
 */
public interface PeerNetwork extends AutoCloseable {

	/**
	 * Asks the entry VM that owns a claim for its outcome. The answer comes when the
	 * request has ended or the wait is over.
	 * @param incarnation the incarnation of the owner
	 * @param key the key of the claim
	 * @param waitMs the longest wait in milliseconds
	 * @return a future with the outcome, or empty if the owner is unreachable, dead or
	 * still running the request after the wait; never completed exceptionally
	 */
	CompletableFuture<Optional<RecordedOutcome>> queryOutcome(String incarnation, ClaimKey key, long waitMs);

	/**
	 * Asks members what they know about a key. A member that holds an undispatched
	 * attempt abandons it before it answers.
	 * @param vms the names of the members to ask
	 * @param key the key
	 * @param waitMs the longest wait in milliseconds
	 * @return a future with the answers by VM name; members that did not answer are
	 * missing; never completed exceptionally
	 */
	CompletableFuture<Map<String, KeyState>> queryKey(Collection<String> vms, ClaimKey key, long waitMs);

	/**
	 * Sends crash strikes to all peers at once.
	 * @param fingerprints the fingerprints with the endpoints that each crashed
	 */
	void spreadStrikes(Map<String, List<String>> fingerprints);

	@Override
	void close();

	/**
	 * What a member knows about a key.
	 */
	enum KeyState {

		/** The member has no attempt for the key. */
		NONE,

		/** The member had an attempt that never was dispatched, and abandoned it. */
		ABANDONED,

		/** The member dispatched the request. */
		DISPATCHED;

		/**
		 * Tells whether the answer rules out that this member ran the request.
		 * @return {@code true} unless the request was dispatched
		 */
		public boolean isNotRun() {
			return this != DISPATCHED;
		}

	}

}
