package org.fulmargap.peer;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import org.fulmargap.claim.ClaimKey;
import org.fulmargap.claim.RecordedOutcome;
import org.fulmargap.membership.AdminOrder;
import org.fulmargap.membership.AdminOrders;

/**
 * Handles queries and state updates of peers with the services of this entry VM. All
 * methods must return without blocking: {@link #status} is called on the I/O thread, the
 * others on handler threads or, for queries of this entry VM about itself, on any thread.
 */
public interface PeerHandler {

	/**
	 * Returns the state to send in the next heartbeats.
	 * @return the state
	 */
	LocalStatus status();

	/**
	 * Merges orders received from a peer.
	 * @param orders the orders
	 * @return all orders in force after the merge
	 */
	AdminOrders mergeOrders(Collection<AdminOrder> orders);

	/**
	 * Merges crash reports of a peer.
	 * @param crashReports the endpoints that crashed, by request fingerprint
	 */
	void mergeCrashReports(Map<String, List<String>> crashReports);

	/**
	 * Merges warm-up starts that a peer observed.
	 * @param starts the start times in milliseconds since the epoch, by endpoint
	 */
	void mergeWarmUpStarts(Map<String, Long> starts);

	/**
	 * Abandons an undispatched attempt for a key and returns the state of the key.
	 * @param key the key
	 * @return the state after the call
	 */
	PeerNetwork.KeyState abandonUndispatched(ClaimKey key);

	/**
	 * Waits for the outcome of a request of this entry VM.
	 * @param key the key of the claim
	 * @param waitMs the longest wait in milliseconds
	 * @return a future with the outcome, or empty if there is none after the wait
	 */
	CompletableFuture<Optional<RecordedOutcome>> outcome(ClaimKey key, long waitMs);

	/**
	 * Returns the configuration for a peer that cannot read the log.
	 * @return the configuration, or empty if this entry VM knows none
	 */
	Optional<ConfigCopy> config();

	/**
	 * Configuration of one entry VM in the form that another one can install.
	 *
	 * @param version the version in force
	 * @param state the document with its pending proposal; the configuration service
	 * defines the fields
	 */
	record ConfigCopy(long version, JsonNode state) {
	}

	/**
	 * State of this entry VM that heartbeats carry.
	 *
	 * @param leaving whether this entry VM is shutting down
	 * @param configVersion the configuration version in force
	 * @param inFlight the number of running requests
	 * @param warmUpStarts the latest start of a warm-up by endpoint, milliseconds since
	 * the epoch
	 * @param orders the orders in force
	 */
	record LocalStatus(boolean leaving, long configVersion, int inFlight, Map<String, Long> warmUpStarts,
			AdminOrders orders) {
	}

}
