package org.fulmargap.entry.peer;

import java.util.List;
import java.util.Map;

import org.fulmargap.batch.WorkItem;
import org.fulmargap.entry.stage.WorkItemOutcome;
import org.fulmargap.placement.Prompt;
import org.fulmargap.platform.StorePage;
import org.fulmargap.platform.StoreTopic;

/**
 * What entry VMs tell each other.
 */
public sealed interface PeerMessage {

	/**
	 * The first message on a connection.
	 *
	 * @param vm the name of the sender
	 * @param startedAtMs when it started, in milliseconds since the epoch
	 * @param address where it listens, as {@code IP:port}
	 */
	record Hello(String vm, long startedAtMs, String address) implements PeerMessage {
	}

	/**
	 * The sender is alive and has requests in flight.
	 *
	 * @param draining whether the sender is about to leave
	 * @param receiverHeard whether the sender hears the receiver; a connection can go
	 * silent without being closed, which only the other end notices
	 * @param loads what it has in flight, only for endpoints with load
	 * @param admittedItems the work items that its requests still need, by rank, by
	 * service
	 * @param availableEndpoints the endpoints that work, of the services that the sender
	 * makes calls to, in units of endpoints of usual speed
	 * @param nextOffsets how far it knows each topic of the store, in the order of the
	 * topics
	 */
	record Heartbeat(boolean draining, boolean receiverHeard, List<Load> loads, Map<String, int[]> admittedItems,
			Map<String, Double> availableEndpoints, List<Long> nextOffsets) implements PeerMessage {
	}

	/**
	 * Requests in flight at one endpoint.
	 *
	 * @param endpoint the name of the endpoint
	 * @param inFlight the number of requests
	 * @param prefillTokens the prompt tokens that it has not read yet
	 */
	record Load(String endpoint, int inFlight, long prefillTokens) {
	}

	/**
	 * Asks for records of the store that the sender can't read there.
	 *
	 * @param topic the topic
	 * @param from the first offset; a negative one for the newest record of each key
	 */
	record RecordsRequest(StoreTopic topic, long from) implements PeerMessage {
	}

	/**
	 * Records of the store.
	 *
	 * @param topic the topic
	 * @param page the records
	 */
	record RecordsReply(StoreTopic topic, StorePage page) implements PeerMessage {
	}

	/**
	 * A prompt was sent to an engine, which will keep its parts.
	 *
	 * @param endpoint the name of the engine
	 * @param prompt the prompt
	 */
	record PromptSent(String endpoint, Prompt prompt) implements PeerMessage {
	}

	/**
	 * Work items for the VM that makes the calls of a service.
	 *
	 * @param service the service
	 * @param items the work items, with times in the receiver's clock
	 */
	record WorkItems(String service, List<WorkItem> items) implements PeerMessage {
	}

	/**
	 * What came of work items.
	 *
	 * @param outcomes the outcomes
	 */
	record Outcomes(List<WorkItemOutcome> outcomes) implements PeerMessage {
	}

	/**
	 * A work item is no longer needed.
	 *
	 * @param itemId the number of the work item
	 */
	record Cancellation(long itemId) implements PeerMessage {
	}

	/**
	 * Results are no longer needed.
	 *
	 * @param service the service that made them
	 * @param handles the names of the results
	 * @param evictable whether they should be kept as long as there is room for them
	 */
	record Release(String service, List<String> handles, boolean evictable) implements PeerMessage {
	}

	/**
	 * A request crashed an endpoint.
	 *
	 * @param fingerprint the fingerprint of the request
	 * @param endpoint the name of the endpoint
	 */
	record CrashReport(String fingerprint, String endpoint) implements PeerMessage {
	}

}
