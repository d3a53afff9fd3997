package org.fulmargap.entry.peer;

import java.util.List;
import java.util.Map;

import org.fulmargap.batch.WorkItem;
import org.fulmargap.entry.stage.WorkItemOutcome;
import org.fulmargap.placement.Prompt;
import org.fulmargap.platform.StorePage;
import org.fulmargap.platform.StoreTopic;

/**
 * A message between entry VMs.
 */
public sealed interface PeerMessage {

	/**
	 * The first message on a connection.
	 *
	 * @param vm the name of the sender
	 * @param startedAtMs when it started, in milliseconds since the epoch
	 * @param address the address that it listens on, as {@code IP:port}
	 */
	record Hello(String vm, long startedAtMs, String address) implements PeerMessage {
	}

	/**
	 * Reports that the sender is alive, its load and its read positions in the store.
	 *
	 * @param draining whether the sender is shutting down
	 * @param receiving whether the sender currently receives messages from the receiver;
	 * a connection can stop delivering without being closed, which only its receiving end
	 * notices
	 * @param loads the requests in flight, only for endpoints with some
	 * @param admittedItems the numbers of work items that its requests still need, by
	 * rank, by service
	 * @param availableEndpoints the available endpoints of the services that the sender
	 * coordinates, in units of endpoints of usual speed
	 * @param nextOffsets the next offset of each topic of the store, in the order of the
	 * topics; -1 for a topic that was not read
	 */
	record Heartbeat(boolean draining, boolean receiving, List<Load> loads, Map<String, int[]> admittedItems,
			Map<String, Double> availableEndpoints, List<Long> nextOffsets) implements PeerMessage {
	}

	/**
	 * Requests in flight at one endpoint.
	 *
	 * @param endpoint the name of the endpoint
	 * @param inFlight the number of requests
	 * @param prefillTokens the prompt tokens that the endpoint has not processed yet
	 */
	record Load(String endpoint, int inFlight, long prefillTokens) {
	}

	/**
	 * Requests records of the store that the sender has not received from the store.
	 *
	 * @param topic the topic
	 * @param from the first offset; a negative one for the newest record of each key
	 */
	record RecordsRequest(StoreTopic topic, long from) implements PeerMessage {
	}

	/**
	 * The records that answer a {@link RecordsRequest}.
	 *
	 * @param topic the topic
	 * @param page the records
	 */
	record RecordsReply(StoreTopic topic, StorePage page) implements PeerMessage {
	}

	/**
	 * Reports that a prompt was sent to an engine, which caches its parts.
	 *
	 * @param endpoint the name of the engine
	 * @param prompt the prompt
	 */
	record PromptSent(String endpoint, Prompt prompt) implements PeerMessage {
	}

	/**
	 * Work items for the coordinator of a service.
	 *
	 * @param service the name of the service
	 * @param items the work items, with times in the local clock; the codec converts them
	 * to the receiver's clock
	 */
	record WorkItems(String service, List<WorkItem> items) implements PeerMessage {
	}

	/**
	 * Reports the outcomes of work items.
	 *
	 * @param outcomes the outcomes
	 */
	record Outcomes(List<WorkItemOutcome> outcomes) implements PeerMessage {
	}

	/**
	 * Cancels a work item.
	 *
	 * @param itemId the id of the work item at the sender
	 */
	record Cancellation(long itemId) implements PeerMessage {
	}

	/**
	 * Releases results that are no longer needed.
	 *
	 * @param service the name of the service that made them
	 * @param handles the handles of the results
	 * @param evictable whether they are kept until their space is needed, instead of
	 * being freed at once
	 */
	record Release(String service, List<String> handles, boolean evictable) implements PeerMessage {
	}

	/**
	 * Reports that a request crashed an endpoint.
	 *
	 * @param fingerprint the fingerprint of the request
	 * @param endpoint the name of the endpoint
	 */
	record CrashReport(String fingerprint, String endpoint) implements PeerMessage {
	}

}
