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
 * Answers peers from the services of this entry VM. All methods must return without
 * waiting; {@link #status} is called on the I/O thread, the others on handler threads.
 */
public interface PeerHandler {

	/**
	 * Returns the state that the next heartbeats carry.
	 * @return the state
	 */
	LocalStatus status();

	/**
	 * Merges orders that a peer holds.
	 * @param orders the orders
	 * @return all orders in force after the merge
	 */
	AdminOrders mergeOrders(Collection<AdminOrder> orders);

	/**
	 * Merges crash strikes that a peer observed.
	 * @param strikes the endpoints that each fingerprint crashed
	 */
	void mergeStrikes(Map<String, List<String>> strikes);

	/**
	 * Merges warm-up starts that a peer observed.
	 * @param starts milliseconds since the epoch by endpoint
	 */
	void mergeWarmUpStarts(Map<String, Long> starts);

	/**
	 * Abandons an undispatched attempt for a key and tells what is known about the key.
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
	 * Returns the configuration for a peer that starts without the log.
	 * @return the configuration, or empty if this entry VM knows none
	 */
	Optional<ConfigCopy> config();

	/**
	 * Configuration of one entry VM in the form that another one can take over.
	 *
	 * @param version the version in force
	 * @param state the document with its pending proposal; the configuration service
	 * defines the fields
	 */
	record ConfigCopy(long version, JsonNode state) {
	}

	/**
	 * State of this entry VM for heartbeats.
	 *
	 * @param leaving whether this entry VM is shutting down
	 * @param configVersion the configuration version in force
	 * @param inFlight the number of running requests
	 * @param warmUpStarts the latest warm-up starts by endpoint
	 * @param orders the orders in force
	 */
	record LocalStatus(boolean leaving, long configVersion, int inFlight, Map<String, Long> warmUpStarts,
			AdminOrders orders) {
	}

}
