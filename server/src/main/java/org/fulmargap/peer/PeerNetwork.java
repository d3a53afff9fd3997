package org.fulmargap.peer;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.fulmargap.claim.ClaimKey;
import org.fulmargap.claim.RecordedOutcome;

/**
 * Queries and broadcasts to other entry VMs.
 */
public interface PeerNetwork extends AutoCloseable {

	/**
	 * Queries the outcome of a claim from the entry VM that owns it. The owner replies
	 * when the request has ended or the wait time has passed.
	 * @param incarnation the incarnation of the owner
	 * @param key the key of the claim
	 * @param waitMs the longest wait in milliseconds
	 * @return a future with the outcome, or empty if the owner is unreachable, has been
	 * replaced by a newer incarnation or has no outcome after the wait; never completed
	 * exceptionally
	 */
	CompletableFuture<Optional<RecordedOutcome>> queryOutcome(String incarnation, ClaimKey key, long waitMs);

	/**
	 * Queries the state of a key at members. A member that holds an undispatched attempt
	 * abandons it before it replies.
	 * @param vms the names of the members
	 * @param key the key
	 * @param waitMs the longest wait in milliseconds
	 * @return a future with the states by VM name, without the members that did not reply
	 * in time; never completed exceptionally
	 */
	CompletableFuture<Map<String, KeyState>> queryKey(Collection<String> vms, ClaimKey key, long waitMs);

	/**
	 * Sends crash reports to all connected peers without waiting for the next heartbeat.
	 * @param fingerprints the endpoints that crashed, by request fingerprint
	 */
	void broadcastCrashReports(Map<String, List<String>> fingerprints);

	@Override
	void close();

	/**
	 * State of a key at a member.
	 */
	enum KeyState {

		/** The member has no attempt for the key. */
		NONE,

		/** The member had an attempt that was not dispatched, and has abandoned it. */
		ABANDONED,

		/**
		 * The member dispatched the request, or its ledger does not rule out that the
		 * request ran.
		 */
		DISPATCHED;

		/**
		 * Returns whether the state rules out that this member ran the request.
		 * @return {@code true} unless the state is {@link #DISPATCHED}
		 */
		public boolean isNotRun() {
			return this != DISPATCHED;
		}

	}

}
